/** Writes lines to standard error while a daemon starts and has no log yet. */

/**
 * Writes a line; it is lost if standard error has no reader.
 * @param line - the line, without its end
 */
export function writeStartLine(line: string): void {
  const { stderr } = process;
  // An error without a listener would end the process.
  if (stderr.listenerCount('error') === 0) stderr.on('error', () => undefined);
  stderr.write(`${line}\n`);
}
