/** Problems in files: position, description and remedy. */

/** A position in a file; lines and columns are counted from 1. */
export interface Place {
  readonly line: number;
  readonly column: number;
}

/** A problem at a position in a file. */
export interface Problem extends Place {
  readonly file: string;
  readonly text: string;
  readonly remedy: string;
}

/** Position of the first character, for problems of a file as a whole. */
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
