/** Exit codes of the command-line tool. */
import type { FailureBody } from '../kernel/index.js';

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** The command succeeded, or an earlier run with the same operation id did. */
  ok: 0,
  /** A daemon refused the command, for instance because of a conflicting publication. */
  refused: 1,
  /** The input is invalid; nothing was sent, or the daemon accepted none of it. */
  input: 2,
  /** No daemon answered, or the outcome of the command is unknown. */
  unknown: 3,
} as const;

/** An exit code. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

const INPUT_FAILURES: readonly string[] = [
  'invalid',
  'removal',
  'malformed-request',
  'body-too-large',
];
const UNKNOWN_OUTCOME_FAILURES: readonly string[] = [
  'store-unavailable',
  'not-ready',
  'outcome-unknown',
];

/**
 * Returns the exit code for a failure that a daemon reported.
 * @param body - body of the answer
 * @returns the exit code
 */
export function exitCodeOf({ error }: FailureBody): ExitCode {
  if (error.outcome === 'unknown' || UNKNOWN_OUTCOME_FAILURES.includes(error.code))
    return EXIT_CODES.unknown;
  return INPUT_FAILURES.includes(error.code) ? EXIT_CODES.input : EXIT_CODES.refused;
}
