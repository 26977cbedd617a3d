/** Parses YAML and validates it against a schema; each problem has file, line, column and remedy. */
import { isAlias, isMap, isScalar, LineCounter, parseDocument, visit } from 'yaml';

import type { Document, YAMLError } from 'yaml';
import type { z } from 'zod';
import { START_OF_FILE } from './problem.js';
import { Err, Ok } from './result.js';
import { explainIssue } from './schemaissue.js';
import { decodeYaml } from './yamltext.js';

import type { Place, Problem } from './problem.js';
import type { Result } from './result.js';

/** Most aliases in one file: nested aliases could expand to unbounded size. */
const MAX_ALIASES = 100;

type Path = readonly PropertyKey[];

/** Messages and remedies for syntax errors, by error code of the parser. */
const SYNTAX_ERRORS: Readonly<Record<string, Pick<Problem, 'text' | 'remedy'>>> = {
  DUPLICATE_KEY: { text: 'duplicate field', remedy: 'keep one of the two' },
  MULTIPLE_DOCS: {
    text: 'the file holds more than one document',
    remedy: 'keep one document in each file',
  },
  TAG_RESOLVE_FAILED: { text: 'unknown tag', remedy: 'remove the tag' },
  NON_STRING_KEY: { text: 'the name of a field is not text', remedy: 'write a plain name' },
};

/** A parsed YAML file. */
export class YamlSource {
  private constructor(
    readonly file: string,
    /** Content as plain data; an empty object for an empty file. */
    readonly raw: unknown,
    private readonly doc: Document,
    private readonly lines: LineCounter,
  ) {}

  /**
   * Parses a file.
   * @param file - name of the file, for messages
   * @param content - content of the file
   * @returns the parsed file, or all problems found
   */
  static read(file: string, content: Uint8Array): Result<YamlSource, readonly Problem[]> {
    const text = decodeYaml(file, content);
    if (text.err) return text;
    return YamlSource.#parse(file, text.val);
  }

  static #parse(file: string, text: string): Result<YamlSource, readonly Problem[]> {
    const lines = new LineCounter();
    const options = { lineCounter: lines, prettyErrors: false, stringKeys: true };
    const doc = parseDocument(text, options);
    const source = new YamlSource(file, undefined, doc, lines);
    const problems = [...doc.errors, ...doc.warnings].map((err) => source.#syntax(err));
    if (problems.length > 0) return Err(problems);
    const aliases = text.includes('*') ? source.#aliasProblems() : [];
    if (aliases.length > 0) return Err(aliases);
    const raw: unknown = doc.toJS({ maxAliasCount: MAX_ALIASES }) ?? {};
    return Ok(new YamlSource(file, raw, doc, lines));
  }

  /**
   * Validates the content against a schema.
   * @param schema - schema of the content
   * @returns the parsed value, or all problems found
   */
  check<Schema extends z.ZodType>(schema: Schema): Result<z.infer<Schema>, readonly Problem[]> {
    const parsed = schema.safeParse(this.raw);
    if (parsed.success) return Ok(parsed.data);
    const findings = parsed.error.issues.flatMap((issue) => explainIssue(schema, this.raw, issue));
    return Err(
      findings.map(({ path, atName, text, remedy }) => {
        const place = atName ? this.nameOf(path) : this.placeOf(path);
        return { file: this.file, ...place, text, remedy };
      }),
    );
  }

  /**
   * Finds the position of a value.
   * @param path - path of field names and list indices
   * @returns the position of the value, or of the nearest enclosing value if it does not exist
   */
  placeOf(path: Path): Place {
    for (let depth = path.length; depth >= 0; depth -= 1) {
      const node = this.doc.getIn(path.slice(0, depth), true) as { range?: number[] } | undefined;
      const offset = node?.range?.[0];
      if (offset !== undefined) return this.#at(offset);
    }
    return START_OF_FILE;
  }

  /**
   * Finds the position of the name of a field.
   * @param path - path of field names and list indices
   * @returns the position of the name, or that of the value if the name is not found
   */
  nameOf(path: Path): Place {
    const parent = this.doc.getIn(path.slice(0, -1), true) ?? this.doc.contents;
    const name = String(path.at(-1));
    const items = isMap(parent) ? parent.items : [];
    const key = items.map((pair) => pair.key).find((at) => isScalar(at) && at.value === name);
    const offset = isScalar(key) ? key.range?.[0] : undefined;
    return offset === undefined ? this.placeOf(path) : this.#at(offset);
  }

  #at(offset: number): Place {
    const { line, col } = this.lines.linePos(offset);
    return { line, column: col };
  }

  #syntax(err: YAMLError): Problem {
    const known = SYNTAX_ERRORS[err.code];
    const text = known?.text ?? err.message;
    const remedy = known?.remedy ?? 'correct the YAML syntax';
    return { file: this.file, ...this.#at(err.pos[0]), text, remedy };
  }

  #aliasProblems(): readonly Problem[] {
    const found: Problem[] = [];
    let count = 0;
    visit(this.doc, {
      Alias: (_, alias) => {
        count += 1;
        const offset = alias.range?.[0] ?? 0;
        const target = alias.resolve(this.doc);
        const place = { file: this.file, ...this.#at(offset) };
        if (!target) {
          const text = `alias "*${alias.source}" has no anchor before it`;
          found.push({ ...place, text, remedy: 'replace the alias with its value' });
        } else if (count === MAX_ALIASES + 1 || YamlSource.#containsAlias(target)) {
          const text = 'aliases that expand without bound';
          found.push({ ...place, text, remedy: 'replace the aliases with their values' });
        }
      },
    });
    return found;
  }

  /** Whether an anchored value contains aliases; nested aliases grow exponentially when expanded. */
  static #containsAlias(target: Parameters<typeof visit>[0]): boolean {
    let nested = false;
    visit(target, {
      Alias: () => {
        nested = true;
        return visit.BREAK;
      },
    });
    return nested || isAlias(target);
  }
}

/**
 * Parses a YAML text and validates it against a schema.
 * @param file - name of the file, for messages
 * @param text - content of the file
 * @param schema - schema of the content
 * @returns the parsed value, or all problems found
 */
export function safeParseYaml<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, readonly Problem[]> {
  return YamlSource.read(file, Buffer.from(text)).andThen((source) => source.check(schema));
}
