/** Problems in files: place, what is wrong and what to do about it. */

/** A place in a file; lines and columns count from 1. */
export interface Place {
  readonly line: number;
  readonly column: number;
}

/** Something wrong in a file. */
export interface Problem extends Place {
  readonly file: string;
  readonly text: string;
  readonly remedy: string;
}

/** The start of a file. */
export const START_OF_FILE: Place = { line: 1, column: 1 };

/**
 * Formats a problem on one line.
 * @param problem - the problem
 * @returns "file:line:column: text; remedy"
 */
export function formatProblem(problem: Problem): string {
  const { file, line, column, text, remedy } = problem;
  return `${file}:${line}:${column}: ${text}; ${remedy}`;
}
