/** Stops a daemon gracefully after an error that no part of the program has handled. */
import { LineLimit } from '../telemetry/index.js';

import type { Recorder } from '../telemetry/index.js';

/** Exit code after such an error; Node.js would end the process with the same code, and cut all requests. */
const EXIT_UNEXPECTED = 1;

/** Maximum number of log lines on such errors in one period, and the period in milliseconds. */
const MAX_LINES = 10;
const LINES_PERIOD_MS = 10_000;

function describe(err: unknown): string {
  return err instanceof Error ? (err.stack ?? String(err)) : String(err);
}

/**
 * Handles exceptions that nothing catches and rejections that nothing handles: the first one begins a graceful stop, in
 * which open requests end as usual.
 * @param recorder - records each of them
 * @param stop - stops the daemon gracefully and ends the process, from the cause, for the log, and the exit code
 */
export function handleUnexpectedErrors(
  recorder: Recorder,
  stop: (cause: string, code: number) => void,
): void {
  const lines = new LineLimit(MAX_LINES, LINES_PERIOD_MS);
  process.on('uncaughtException', (err, origin) => {
    const unlogged = lines.admit(performance.now());
    if (unlogged !== undefined) {
      recorder.record('unexpectedError', { detail: describe(err), facts: { origin, unlogged } });
    }
    stop('unexpected error', EXIT_UNEXPECTED);
  });
}
