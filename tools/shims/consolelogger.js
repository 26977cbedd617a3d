/**
 * Replaces the console logger of Nest in the bundled daemon, which creates Nest with "logger: false" and never uses it. The
 * original loads Node's fetch when it is imported.
 */

/** Writes errors to standard error and drops all other messages. */
export class ConsoleLogger {
  log() {}

  debug() {}

  verbose() {}

  warn(...message) {
    process.stderr.write(`${message.join(' ')}\n`);
  }

  error(...message) {
    process.stderr.write(`${message.join(' ')}\n`);
  }

  fatal(...message) {
    process.stderr.write(`${message.join(' ')}\n`);
  }

  setLogLevels() {}

  setContext() {}

  resetContext() {}

  isLevelEnabled() {
    return false;
  }
}
