/** Turns issues of zod into messages and remedies for the author of a file. */
import type { z } from 'zod';
import { nearestName } from './nearest.js';

type Path = readonly PropertyKey[];
type Schema = z.ZodType;

/** One problem and its path in the document. */
export interface SchemaFinding {
  readonly path: Path;
  /** Whether the problem is in the name of the field rather than in its value. */
  readonly atName: boolean;
  readonly text: string;
  readonly remedy: string;
}

/** Number of characters of an invalid value that a message shows. */
const MAX_SHOWN = 40;

/** Names of fields whose values may be secret and are not shown. */
const SECRET_FIELD = /key$|^sha256$/i;

/** Descriptions of the types of zod in plain words. */
const TYPE_NAMES: Readonly<Record<string, string>> = {
  string: 'text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'named fields',
};

function unwrap(schema: Schema): Schema {
  const { innerType } = schema.def as { readonly innerType?: Schema };
  return innerType ? unwrap(innerType) : schema;
}

interface Def {
  readonly shape?: Readonly<Record<string, Schema>>;
  readonly element?: Schema;
  /** Alternatives of a discriminated union, and its discriminator field. */
  readonly options?: readonly Schema[];
  readonly discriminator?: string;
  /** Allowed values of a literal. */
  readonly values?: readonly unknown[];
}

type Fields = Readonly<Record<string, unknown>>;

function defOf(schema: Schema): Def {
  return unwrap(schema).def as Def;
}

/** Discriminator values of the alternatives of a union. */
function kindsOf({ options = [], discriminator = '' }: Def): readonly string[] {
  return options.flatMap((option) => {
    const field = defOf(option).shape?.[discriminator];
    return (field ? (defOf(field).values ?? []) : []).map(String);
  });
}

/** Returns the definition that applies to a value; for a union, that of the alternative that the value selects. */
function rulesFor(schema: Schema, value: unknown): Def {
  const def = defOf(schema);
  const { options, discriminator } = def;
  if (!options || discriminator === undefined) return def;
  const kind = (value as Fields | null | undefined)?.[discriminator];
  const option = options[kindsOf(def).indexOf(String(kind))];
  return option ? defOf(option) : {};
}

/** Returns the definition that applies to the value at a path. */
function rulesAt(schema: Schema, root: unknown, path: Path): Def {
  let at: Schema | undefined = schema;
  let value = root;
  path.forEach((step) => {
    const rules: Def = at ? rulesFor(at, value) : {};
    at = typeof step === 'number' ? rules.element : rules.shape?.[String(step)];
    value = (value as Readonly<Record<PropertyKey, unknown>> | null | undefined)?.[step];
  });
  return at ? rulesFor(at, value) : {};
}

function valueAt(root: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (at, step) => (at as Readonly<Record<PropertyKey, unknown>> | null | undefined)?.[step],
    root,
  );
}

function formatValue(value: unknown): string {
  if (value === null) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'named fields';
  const text = typeof value === 'string' ? JSON.stringify(value) : String(value);
  return text.length > MAX_SHOWN ? `${text.slice(0, MAX_SHOWN)}...` : text;
}

/**
 * Builds a remedy that suggests the nearest known name or, if none is near, lists the known names.
 * @param name - name as written
 * @param known - known names
 * @param what - plural noun for the names
 * @returns the remedy
 */
export function suggest(name: string, known: readonly string[], what: string): string {
  const near = nearestName(name, known);
  if (near !== undefined) return `did you mean "${near}"?`;
  return known.length > 0 ? `${what}: ${known.join(', ')}` : `there are no ${what}`;
}

function unknownFields(
  schema: Schema,
  root: unknown,
  path: Path,
  keys: readonly string[],
): SchemaFinding[] {
  const known = Object.keys(rulesAt(schema, root, path).shape ?? {});
  return keys.map((key) => ({
    path: [...path, key],
    atName: true,
    text: `unknown field "${key}"`,
    remedy: suggest(key, known, 'known fields'),
  }));
}

function expected(issue: z.core.$ZodIssue, found: unknown): { text: string; remedy: string } {
  switch (issue.code) {
    case 'invalid_type': {
      const type = TYPE_NAMES[issue.expected] ?? issue.expected;
      return { text: `expected ${type}`, remedy: `write ${type}` };
    }
    case 'invalid_value': {
      const values = issue.values.map(String);
      const text = `expected one of ${values.join(', ')}`;
      return { text, remedy: suggest(String(found), values, 'values') };
    }
    case 'too_small': {
      if (issue.origin === 'string') return { text: issue.message, remedy: 'correct the value' };
      const least = `${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}`;
      return { text: `expected ${least}`, remedy: `write ${least}` };
    }
    case 'too_big': {
      const most = `${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}`;
      return { text: `expected ${most}`, remedy: `write ${most}` };
    }
    default:
      return { text: issue.message, remedy: 'correct the value' };
  }
}

/** Builds text and remedy of an issue; they omit the value found if it may be secret. */
function expectation(issue: z.core.$ZodIssue, found: unknown): { text: string; remedy: string } {
  const { text, remedy } = expected(issue, found);
  if (SECRET_FIELD.test(String(issue.path.at(-1)))) return { text, remedy: 'correct the value' };
  return { text: `${text}, found ${formatValue(found)}`, remedy };
}

/** Returns the discriminated union, an element of a list, whose discriminator is at the path. */
function unionAt(schema: Schema, root: unknown, path: Path): Def {
  const list = rulesAt(schema, root, path.slice(0, -2));
  return list.element ? defOf(list.element) : {};
}

function unknownAlternative(union: Def, found: unknown): { text: string; remedy: string } {
  const kinds = kindsOf(union);
  const text = `expected one of ${kinds.join(', ')}, found ${formatValue(found)}`;
  return { text, remedy: suggest(String(found), kinds, 'values') };
}

/**
 * Explains an issue of zod.
 * @param schema - schema of the whole document
 * @param root - content of the whole document
 * @param issue - the issue
 * @returns a finding for each unknown field, or one finding for any other issue
 */
export function explainIssue(
  schema: Schema,
  root: unknown,
  issue: z.core.$ZodIssue,
): readonly SchemaFinding[] {
  const { path } = issue;
  if (issue.code === 'unrecognized_keys') return unknownFields(schema, root, path, issue.keys);
  const found = valueAt(root, path);
  const where = path.map(String).join('.');
  if (found === undefined) {
    const remedy = `add "${String(path.at(-1))}"`;
    return [{ path, atName: false, text: `missing field "${where}"`, remedy }];
  }
  const { text, remedy } =
    issue.code === 'invalid_union'
      ? unknownAlternative(unionAt(schema, root, path), found)
      : expectation(issue, found);
  return [{ path, atName: false, text: where ? `${where}: ${text}` : text, remedy }];
}
