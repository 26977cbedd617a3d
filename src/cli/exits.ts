/** Exit codes of the command-line tool. */
import type { FailureBody } from '../kernel/index.js';

/** Exit codes by meaning. */
export const EXIT = {
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
export type Exit = (typeof EXIT)[keyof typeof EXIT];

const INPUT_CODES: readonly string[] = [
  'invalid',
  'removal',
  'malformed-request',
  'body-too-large',
];
const UNKNOWN_CODES: readonly string[] = ['store-unavailable', 'not-ready', 'outcome-unknown'];

/**
 * Gives the exit code for a failure that a daemon answered.
 * @param body - body of the answer
 * @returns the exit code
 */
export function exitOf({ error }: FailureBody): Exit {
  if (error.outcome === 'unknown' || UNKNOWN_CODES.includes(error.code)) return EXIT.unknown;
  return INPUT_CODES.includes(error.code) ? EXIT.input : EXIT.refused;
}
