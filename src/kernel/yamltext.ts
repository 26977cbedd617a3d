/** Decodes a YAML file and rejects content that is invisible, unsafe to parse or easily misread. */
import { MIB_BYTES } from './units.js';
import { START_OF_FILE } from './problem.js';
import { Err, Ok } from './result.js';

import type { Place, Problem } from './problem.js';
import type { Result } from './result.js';

/** Largest file, in bytes. */
const MAX_FILE_BYTES = MIB_BYTES;

/** Deepest nesting: the parser is recursive, and Node.js aborts on some deeply nested files. */
const MAX_DEPTH = 32;

/** Smallest indentation of a line that is rejected as too deep, in spaces. */
const MAX_INDENT = 100;

const NEWLINE = 0x0a;

const TOO_DEEP = { text: 'nested too deeply', remedy: 'write the fields with less nesting' };

/** Patterns that no line of a file may match. */
const FORBIDDEN_PATTERNS = [
  {
    pattern: /\t/,
    text: 'tab character',
    remedy: 'use spaces; write "\\t" within double quotes',
  },
  {
    // This pattern matches control characters on purpose.
    // eslint-disable-next-line no-control-regex
    pattern: /[\u0000-\u0008\u000b\u000c\u000e-\u001f\u007f\u0085\u2028\u2029]/,
    text: 'control character',
    remedy: 'remove it, or write it as an escape within double quotes',
  },
  { pattern: new RegExp(`^ {${MAX_INDENT}}`), ...TOO_DEEP },
  { pattern: new RegExp(`^ *(?:[-?:] +){${MAX_DEPTH}}`), ...TOO_DEEP },
  { pattern: /^%/, text: 'YAML directive', remedy: 'remove the line' },
] as const;

/** Matches a file in which any line matches one of these patterns. */
const ANY_FORBIDDEN = new RegExp(
  FORBIDDEN_PATTERNS.map(({ pattern }) => pattern.source).join('|'),
  'm',
);

function decode(bytes: Uint8Array): string | undefined {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes);
  } catch {
    return undefined;
  }
}

function invalidUtf8Place(bytes: Uint8Array): Place {
  let line = 1;
  let start = 0;
  for (let end = bytes.indexOf(NEWLINE); end >= 0; end = bytes.indexOf(NEWLINE, start)) {
    if (decode(bytes.subarray(start, end)) === undefined) break;
    line += 1;
    start = end + 1;
  }
  const rest = new TextDecoder().decode(bytes.subarray(start));
  return { line, column: rest.indexOf('\ufffd') + 1 };
}

function forbiddenIn(file: string, line: string, index: number): readonly Problem[] {
  return FORBIDDEN_PATTERNS.flatMap(({ pattern, text, remedy }) => {
    const at = line.search(pattern);
    return at < 0 ? [] : [{ file, line: index + 1, column: at + 1, text, remedy }];
  });
}

/** Returns the index of the first bracket nested too deeply, or -1. Brackets within quotes are counted, too. */
function findTooDeepBracket(text: string): number {
  let open = 0;
  for (let index = 0; index < text.length; index += 1) {
    const char = text[index];
    if (char === '[' || char === '{') open += 1;
    if (char === ']' || char === '}') open = Math.max(0, open - 1);
    if (open > MAX_DEPTH) return index;
  }
  return -1;
}

function depthProblem(file: string, text: string): readonly Problem[] {
  const index = findTooDeepBracket(text);
  if (index < 0) return [];
  const before = text.slice(0, index).split('\n');
  const column = (before.at(-1)?.length ?? 0) + 1;
  return [{ file, line: before.length, column, ...TOO_DEEP }];
}

/**
 * Checks the size of a file.
 * @param file - name of the file
 * @param bytes - its size in bytes
 * @returns the problem; undefined if the file is small enough
 */
export function sizeProblem(file: string, bytes: number): Problem | undefined {
  if (bytes <= MAX_FILE_BYTES) return undefined;
  const text = `the file has ${bytes} bytes, more than ${MAX_FILE_BYTES}`;
  return { file, ...START_OF_FILE, text, remedy: 'split the file' };
}

/**
 * Decodes a file and checks its size, characters and nesting.
 * @param file - name of the file, for messages
 * @param content - bytes of the file
 * @returns its text, or all problems found
 */
export function decodeYaml(file: string, content: Uint8Array): Result<string, readonly Problem[]> {
  const size = sizeProblem(file, content.length);
  if (size) return Err([size]);
  const text = decode(content);
  if (text === undefined) {
    const remedy = 'save the file as UTF-8';
    return Err([{ file, ...invalidUtf8Place(content), text: 'the file is not UTF-8', remedy }]);
  }
  // Splitting into lines is skipped for files without forbidden patterns, since most files are valid.
  const lines = ANY_FORBIDDEN.test(text) ? text.split(/\r?\n/) : [];
  const problems = [
    ...lines.flatMap((line, index) => forbiddenIn(file, line, index)),
    ...depthProblem(file, text),
  ];
  return problems.length > 0 ? Err(problems) : Ok(text);
}
