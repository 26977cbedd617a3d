/** Parses and checks service files; reports every problem of a run with file, line and column. */
import type { z } from 'zod';
import { Err, Ok, YamlSource } from '../kernel/index.js';
import { crossCheck } from './crosscheck.js';
import { DOCUMENT_KINDS } from './documentdifference.js';
import { documentSchemas, documentsSchema } from './documents.js';
import { documentsOf, entriesOf } from './entries.js';

import type { Problem, Result } from '../kernel/index.js';
import type { BrokenEntry, Finding, SourcePath } from './crosscheck.js';
import type { DocumentKind } from './documentdifference.js';
import type { Documents } from './documents.js';
import type { Entry } from './entries.js';

/** Name and content of a service file. */
export interface ServiceFile {
  readonly file: string;
  readonly content: Uint8Array;
}

/** Result of parsing one file. */
interface ParsedFile {
  readonly source: YamlSource | undefined;
  readonly entries: readonly Entry[];
  readonly broken: readonly BrokenEntry[];
  readonly problems: readonly Problem[];
}

function rawDocuments(raw: unknown, kind: DocumentKind): readonly unknown[] {
  const list = (raw as Readonly<Record<string, unknown>> | null)?.[kind];
  return Array.isArray(list) ? list : [];
}

/** Parses the documents of an invalid file one by one, and keeps the valid ones. */
function parseEntriesOneByOne(
  raw: unknown,
  source: number,
): Pick<ParsedFile, 'entries' | 'broken'> {
  const entries: Entry[] = [];
  const broken: BrokenEntry[] = [];
  DOCUMENT_KINDS.forEach((kind) => {
    rawDocuments(raw, kind).forEach((item, index) => {
      const parsed: z.ZodSafeParseResult<unknown> = documentSchemas[kind].safeParse(item);
      if (parsed.success) entries.push({ kind, document: parsed.data, source, index } as Entry);
      const { name } = (item ?? {}) as { readonly name?: unknown };
      if (!parsed.success && typeof name === 'string') broken.push({ kind, name });
    });
  });
  return { entries, broken };
}

function emptyFileProblem(file: string): Problem {
  const remedy = `declare ${DOCUMENT_KINDS.join(', ')}, or remove the file`;
  return { file, line: 1, column: 1, text: 'the file declares nothing', remedy };
}

function parseFile({ file, content }: ServiceFile, source: number): ParsedFile {
  const yaml = YamlSource.read(file, content);
  if (yaml.err) return { source: undefined, entries: [], broken: [], problems: yaml.val };
  const checked = yaml.val.check(documentsSchema);
  if (checked.err) {
    return {
      source: yaml.val,
      problems: checked.val,
      ...parseEntriesOneByOne(yaml.val.raw, source),
    };
  }
  const entries = entriesOf(checked.val, source);
  const problems = entries.length > 0 ? [] : [emptyFileProblem(file)];
  return { source: yaml.val, entries, broken: [], problems };
}

function problemLocation(
  files: readonly ParsedFile[],
  { source, path }: SourcePath,
): Omit<Problem, 'text' | 'remedy'> {
  const yaml = files[source]?.source;
  return { file: yaml?.file ?? '', ...(yaml?.placeOf(path) ?? { line: 1, column: 1 }) };
}

function toProblem(files: readonly ParsedFile[], finding: Finding): Problem {
  const { remedy, earlier } = finding;
  const location = problemLocation(files, finding);
  if (!earlier) return { ...location, text: finding.text, remedy };
  const { file, line, column } = problemLocation(files, earlier);
  return { ...location, text: `${finding.text}, first at ${file}:${line}:${column}`, remedy };
}

function compareProblems(a: Problem, b: Problem): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  return a.line - b.line || a.column - b.column;
}

/**
 * Parses service files and checks them, each on its own and then across all files.
 * @param files - the files of one run
 * @param isEveryFileRead - whether every file of the run could be read
 * @returns the documents of all files, or every problem, ordered by file, line and column
 */
export function readServiceFiles(
  files: readonly ServiceFile[],
  isEveryFileRead = true,
): Result<Documents, readonly Problem[]> {
  const parsedFiles = files.map(parseFile);
  const entries = parsedFiles.flatMap((file) => file.entries);
  const broken = parsedFiles.flatMap((file) => file.broken);
  const isComplete = isEveryFileRead && parsedFiles.every(({ source }) => source !== undefined);
  const findings = crossCheck({ entries, broken, isComplete });
  const problems = [
    ...parsedFiles.flatMap((file) => file.problems),
    ...findings.map((finding) => toProblem(parsedFiles, finding)),
  ];
  if (problems.length > 0) return Err(problems.sort(compareProblems));
  return Ok(documentsOf(entries));
}
