/** Output of the command-line tool: tables, or JSON with --json. */
import { EXIT_CODES, exitCodeOf } from './exitcodes.js';

import type { ClientAnswer, ClientFailure } from './client.js';

/** Separator between the columns of a table. */
const COLUMN_GAP = '  ';

/** Options that every command accepts. */
export interface GlobalArgs {
  readonly url: string;
  readonly key: string;
  readonly json: boolean;
}

/** One cell of a table. */
export type Cell = string | number | boolean;

/** A row of a table: cells by column title. */
export type Row = Readonly<Record<string, Cell>>;

/**
 * Formats rows as a table; numbers are aligned to the right.
 * @param rows - rows with the same columns
 * @returns the table, or "(none)" if there are no rows
 */
export function formatTable(rows: readonly Row[]): string {
  const [first] = rows;
  if (!first) return '(none)';
  const columns = Object.keys(first);
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => String(row[column] ?? '').length)),
  );
  const line = (cells: readonly Cell[]): string =>
    cells
      .map((cell, index) => {
        const width = widths[index] ?? 0;
        return typeof cell === 'number' ? String(cell).padStart(width) : String(cell).padEnd(width);
      })
      .join(COLUMN_GAP)
      .trimEnd();
  return [columns, ...rows.map((row) => columns.map((column) => row[column] ?? ''))]
    .map(line)
    .join('\n');
}

/**
 * Prints a line to standard error: progress, operation ids and errors.
 * @param text - the line
 */
export function printNote(text: string): void {
  process.stderr.write(`${text}\n`);
}

/**
 * Prints the result of a command to standard output.
 * @param argv - options of the command
 * @param body - the result
 * @param render - formats the result as text, unless --json is set
 */
export function printResult<Body>(
  argv: GlobalArgs,
  body: Body,
  render: (body: Body) => string,
): void {
  const text = argv.json ? JSON.stringify(body, null, 2) : render(body);
  process.stdout.write(`${text}\n`);
}

/**
 * Prints the failure of a command and sets the exit code.
 * @param argv - options of the command
 * @param failure - the failure
 * @param operation - operation id of the order; absent for a read
 */
export function printFailure(argv: GlobalArgs, failure: ClientFailure, operation?: string): void {
  if (failure.kind === 'refused') {
    const { body } = failure;
    process.exitCode = exitCodeOf(body);
    if (argv.json) printResult(argv, body, String);
    else printNote(body.error.message);
    if (process.exitCode !== EXIT_CODES.unknown) return;
  } else {
    process.exitCode = EXIT_CODES.unknown;
    const remedy = 'check --url, or name another daemon';
    const error = { code: 'no-answer', message: `${argv.url}: ${failure.text}; ${remedy}`, remedy };
    if (argv.json) printResult(argv, { error }, String);
    else printNote(error.message);
  }
  if (operation !== undefined) {
    printNote(
      `it is not known whether the order took effect; run it again with --operation ${operation}`,
    );
  }
}

/**
 * Prints the answer of a daemon. On a failure, prints that and sets the exit code.
 * @param argv - options of the command
 * @param answer - answer of the daemon
 * @param render - formats the body as text, unless --json is set
 * @param operation - operation id of the order; absent for a read
 */
export function printAnswer<Body>(
  argv: GlobalArgs,
  answer: ClientAnswer<Body>,
  render: (body: Body) => string,
  operation?: string,
): void {
  if (answer.ok) printResult(argv, answer.val, render);
  else printFailure(argv, answer.val, operation);
}

/**
 * Prints the operation id of an order before it is sent, so that the order can be repeated.
 * @param operation - operation id
 */
export function printOperationId(operation: string): void {
  printNote(`operation ${operation}`);
}
