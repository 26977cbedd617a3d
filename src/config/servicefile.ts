/** Service files: their documents, and every problem of a run with its place. */
import type { z } from 'zod';
import { Err, Ok, YamlSource } from '../kernel/index.js';
import { crossCheck } from './crosscheck.js';
import { DOCUMENT_KINDS } from './difference.js';
import { documentSchemas, documentsSchema } from './documents.js';
import { documentsOf, entriesOf } from './entries.js';

import type { Problem, Result } from '../kernel/index.js';
import type { BrokenEntry, Finding, Spot } from './crosscheck.js';
import type { DocumentKind } from './difference.js';
import type { Documents } from './documents.js';
import type { Entry } from './entries.js';

/** A service file as it was read. */
export interface ServiceFile {
  readonly file: string;
  readonly content: Uint8Array;
}

/** What could be made of one file. */
interface ReadFile {
  readonly source: YamlSource | undefined;
  readonly entries: readonly Entry[];
  readonly broken: readonly BrokenEntry[];
  readonly problems: readonly Problem[];
}

function listOf(raw: unknown, kind: DocumentKind): readonly unknown[] {
  const list = (raw as Readonly<Record<string, unknown>> | null)?.[kind];
  return Array.isArray(list) ? list : [];
}

/** Keeps the documents of a wrong file that are right by themselves. */
function salvage(raw: unknown, source: number): Pick<ReadFile, 'entries' | 'broken'> {
  const entries: Entry[] = [];
  const broken: BrokenEntry[] = [];
  DOCUMENT_KINDS.forEach((kind) => {
    listOf(raw, kind).forEach((item, index) => {
      const parsed: z.ZodSafeParseResult<unknown> = documentSchemas[kind].safeParse(item);
      if (parsed.success) entries.push({ kind, document: parsed.data, source, index } as Entry);
      const { name } = (item ?? {}) as { readonly name?: unknown };
      if (!parsed.success && typeof name === 'string') broken.push({ kind, name });
    });
  });
  return { entries, broken };
}

function emptyFile(file: string): Problem {
  const remedy = `declare ${DOCUMENT_KINDS.join(', ')}, or remove the file`;
  return { file, line: 1, column: 1, text: 'the file declares nothing', remedy };
}

function readFile({ file, content }: ServiceFile, source: number): ReadFile {
  const read = YamlSource.read(file, content);
  if (read.err) return { source: undefined, entries: [], broken: [], problems: read.val };
  const checked = read.val.check(documentsSchema);
  if (checked.err) {
    return { source: read.val, problems: checked.val, ...salvage(read.val.raw, source) };
  }
  const entries = entriesOf(checked.val, source);
  const problems = entries.length > 0 ? [] : [emptyFile(file)];
  return { source: read.val, entries, broken: [], problems };
}

function placed(
  files: readonly ReadFile[],
  { source, path }: Spot,
): Omit<Problem, 'text' | 'remedy'> {
  const found = files[source]?.source;
  return { file: found?.file ?? '', ...(found?.placeOf(path) ?? { line: 1, column: 1 }) };
}

function toProblem(files: readonly ReadFile[], finding: Finding): Problem {
  const { remedy, earlier } = finding;
  const place = placed(files, finding);
  if (!earlier) return { ...place, text: finding.text, remedy };
  const { file, line, column } = placed(files, earlier);
  return { ...place, text: `${finding.text}, first at ${file}:${line}:${column}`, remedy };
}

function inOrder(a: Problem, b: Problem): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  return a.line - b.line || a.column - b.column;
}

/**
 * Checks service files, each by itself and all against one another.
 * @param files - the files of one run
 * @param allRead - whether these are all files of the run
 * @returns the documents of all files, or every problem in the order of files and lines
 */
export function readServiceFiles(
  files: readonly ServiceFile[],
  allRead = true,
): Result<Documents, readonly Problem[]> {
  const read = files.map(readFile);
  const entries = read.flatMap((file) => file.entries);
  const broken = read.flatMap((file) => file.broken);
  const complete = allRead && read.every(({ source }) => source !== undefined);
  const findings = crossCheck({ entries, broken, complete });
  const problems = [
    ...read.flatMap((file) => file.problems),
    ...findings.map((finding) => toProblem(read, finding)),
  ];
  if (problems.length > 0) return Err(problems.sort(inOrder));
  return Ok(documentsOf(entries));
}
