/** What a daemon does on the signals that a terminal, a service manager or an operator sends; all others keep their default. */
import type { Recorder } from '../telemetry/index.js';

/**
 * Action on a signal: a graceful stop, none but a line in the log, or what the operating system does by default, which
 * is to end the process at once.
 */
type SignalAction = 'stop' | 'ignore' | 'default';

interface SignalRule {
  readonly signal: NodeJS.Signals;
  readonly action: SignalAction;
  /** What the sender may do instead. */
  readonly remedy: string;
}

const STOP_REMEDY =
  'the stop goes on until open requests have ended; SIGQUIT ends the process at once and cuts them';

/** Node.js itself ignores SIGPIPE, which each write to a closed connection would raise. */
const SIGNAL_RULES: readonly SignalRule[] = [
  { signal: 'SIGTERM', action: 'stop', remedy: STOP_REMEDY },
  { signal: 'SIGINT', action: 'stop', remedy: STOP_REMEDY },
  {
    signal: 'SIGHUP',
    action: 'ignore',
    remedy:
      'settings are read at a start only; to apply new ones, stop with SIGTERM and start again',
  },
  {
    // Node.js would open the port of its inspector, over which anyone on the machine can run code.
    signal: 'SIGUSR1',
    action: 'ignore',
    remedy: 'to debug the daemon, start Node.js with --inspect',
  },
  {
    signal: 'SIGUSR2',
    action: 'ignore',
    remedy: 'the log is written to standard output and has no file to open again; SIGTERM stops',
  },
  { signal: 'SIGALRM', action: 'ignore', remedy: 'the daemon sets no alarms; SIGTERM stops' },
  // A process must have an end that does not wait for its requests and leaves a core dump where these are enabled.
  { signal: 'SIGQUIT', action: 'default', remedy: 'SIGTERM stops without cutting requests' },
];

function rulesOf(action: SignalAction): readonly SignalRule[] {
  return SIGNAL_RULES.filter((rule) => rule.action === action);
}

/** What signals stop. */
export interface SignalledDaemon {
  readonly runtime: { readonly recorder: Recorder };
  /**
   * Stops gracefully.
   * @param cause - why the daemon stops, for the log
   */
  stop(cause: string): Promise<void>;
}

/**
 * Keeps signals without a use here from ending a process that is still loading its program or reading its settings.
 * Signals that stop a daemon end such a process at once: it has accepted nothing yet.
 */
export function ignoreSignalsDuringStart(): void {
  rulesOf('ignore').forEach(({ signal }) => process.on(signal, () => undefined));
}

/**
 * Handles the signals of a daemon that has started. Only the first call or signal that stops it has an effect.
 * @param daemon - the daemon
 * @returns function that stops the daemon and ends the process, from the cause, for the log, and the exit code
 */
export function handleSignals(daemon: SignalledDaemon): (cause: string, code: number) => void {
  let isStopping = false;
  const stop = async (cause: string, code: number): Promise<void> => {
    isStopping = true;
    await daemon.stop(cause).catch((err: unknown) => {
      const facts = { origin: 'stop' };
      daemon.runtime.recorder.record('unexpectedError', { detail: String(err), facts });
    });
    // Idle connections to upstreams would otherwise keep the process running.
    // eslint-disable-next-line n/no-process-exit
    process.exit(code);
  };
  const ignore = ({ signal, remedy }: SignalRule): void => {
    daemon.runtime.recorder.record('signalIgnored', { detail: remedy, facts: { signal } });
  };
  const stopOnce = (cause: string, code: number): void => {
    if (!isStopping) void stop(cause, code);
  };
  rulesOf('ignore').forEach((rule) => process.on(rule.signal, () => ignore(rule)));
  rulesOf('stop').forEach((rule) => {
    process.on(rule.signal, () => {
      if (isStopping) ignore(rule);
      else stopOnce(rule.signal, 0);
    });
  });
  return stopOnce;
}
