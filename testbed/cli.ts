/** Runs the command-line tool as an operator would. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import { OPERATOR_KEY } from './daemonprocess.js';

/** Longest run, in milliseconds. */
const TIMEOUT_MS = 60_000;

/** Largest output, in bytes. */
const MAX_OUTPUT_BYTES = 64_000_000;

/** What a run of the tool gave. */
export interface CliRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the command-line tool.
 * @param args - arguments
 * @returns exit code and output
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
