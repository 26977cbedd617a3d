/** Reads YAML against a schema; every problem names file, line, column and remedy. */
import { LineCounter, parseDocument } from 'yaml';

import type { Document } from 'yaml';
import type { z } from 'zod';
import { Err, Ok } from './result.js';
import type { Result } from './result.js';

/** Aliases that one file may expand, against files that grow without bound. */
const MAX_ALIASES = 100;

/** Something wrong in a file. */
export interface Problem {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly text: string;
  readonly remedy: string;
}

/**
 * Formats a problem on one line.
 * @param problem - the problem
 * @returns "file:line:column: text; remedy"
 */
export function formatProblem(problem: Problem): string {
  const { file, line, column, text, remedy } = problem;
  return `${file}:${line}:${column}: ${text}; ${remedy}`;
}

/** A file with its parsed form. */
interface Source {
  readonly file: string;
  readonly doc: Document;
  readonly lines: LineCounter;
}

function placeOf(source: Source, path: readonly PropertyKey[]): { line: number; column: number } {
  for (let depth = path.length; depth >= 0; depth -= 1) {
    const node = source.doc.getIn(path.slice(0, depth), true) as { range?: number[] } | undefined;
    const offset = node?.range?.[0];
    if (offset !== undefined) {
      const { line, col } = source.lines.linePos(offset);
      return { line, column: col };
    }
  }
  return { line: 1, column: 1 };
}

function schemaProblem(source: Source, issue: z.core.$ZodIssue): Problem {
  const where = issue.path.map(String).join('.');
  return {
    file: source.file,
    ...placeOf(source, issue.path),
    text: where ? `${where}: ${issue.message}` : issue.message,
    remedy: where ? `correct "${where}"` : 'correct the document',
  };
}

/**
 * Parses a YAML text and checks it against a schema.
 * @param file - name of the file, for messages
 * @param text - content of the file
 * @param schema - what the content must be
 * @returns the value, or every problem that was found
 */
export function safeParseYaml<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, readonly Problem[]> {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (doc.errors.length > 0) {
    return Err(
      doc.errors.map((err) => {
        const { line, col } = lines.linePos(err.pos[0]);
        return { file, line, column: col, text: err.message, remedy: 'correct the YAML syntax' };
      }),
    );
  }
  const parsed = schema.safeParse(doc.toJS({ maxAliasCount: MAX_ALIASES }) ?? {});
  if (parsed.success) return Ok(parsed.data);
  return Err(parsed.error.issues.map((issue) => schemaProblem({ file, doc, lines }, issue)));
}
