/** Problems in files: place, what is wrong and what to do about it. */
/** The start of a file. */
export const START = { line: 1, column: 1 };
/**
 * Formats a problem on one line.
 * @param problem - the problem
 * @returns "file:line:column: text; remedy"
 */
export function formatProblem(problem) {
    const { file, line, column, text, remedy } = problem;
    return `${file}:${line}:${column}: ${text}; ${remedy}`;
}
//# sourceMappingURL=problem.js.map