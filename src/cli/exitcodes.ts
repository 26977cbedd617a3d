/** Exit codes of the command-line tool. */
import type { FailureBody } from '../kernel/index.js';

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** Done, or already done by an earlier run. */
  ok: 0,
  /** A daemon refused the order, or another operator came first. */
  refused: 1,
  /** The input cannot be used; nothing was sent or accepted. */
  input: 2,
  /** No daemon answered, or what came of the order is not known. */
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
 * Gives the exit code for a failure that a daemon answered.
 * @param body - body of the answer
 * @returns the exit code
 */
export function exitCodeOf({ error }: FailureBody): ExitCode {
  if (error.outcome === 'unknown' || UNKNOWN_OUTCOME_FAILURES.includes(error.code))
    return EXIT_CODES.unknown;
  return INPUT_FAILURES.includes(error.code) ? EXIT_CODES.input : EXIT_CODES.refused;
}
