/** Runs the operators' command-line tool as a child process. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import { OPERATOR_KEY } from './daemonprocess.js';

/** Time after which a run is killed, in milliseconds. */
const TIMEOUT_MS = 60_000;

/** Maximum size of stdout and of stderr, in bytes; a run that prints more is killed. */
const MAX_OUTPUT_BYTES = 64_000_000;

/** Result of one run. */
export interface CliRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the command-line tool.
 * @param args - arguments
 * @returns exit code (-1 if the run was killed) and output
 */
export function runCli(args: readonly string[]): Promise<CliRun> {
  const main = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
  const env = { ...process.env, COMFREYREEL_OPERATOR_KEY: OPERATOR_KEY };
  const options = { env, timeout: TIMEOUT_MS, maxBuffer: MAX_OUTPUT_BYTES };
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [main, ...args], options, (_err, stdout, stderr) =>
      resolve({ code: child.exitCode ?? -1, stdout, stderr }),
    );
  });
}
