/** Lists the fields of a settings schema and those of the page that documents it. */
import type { z } from 'zod';

/** Parts of a Zod definition that are read: fields of an object, or the schema inside a wrapper. */
interface SchemaDef {
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly innerType?: z.ZodType;
}

/**
 * Lists the fields of a schema.
 * @param schema - an object schema
 * @param prefix - path of the object with a trailing dot; empty for the root
 * @returns paths such as "listen.peers"
 */
export function fieldsOf(schema: z.ZodType, prefix = ''): readonly string[] {
  const { shape, innerType } = schema.def as SchemaDef;
  if (innerType) return fieldsOf(innerType, prefix);
  if (!shape) return [prefix.slice(0, -1)];
  return Object.entries(shape).flatMap(([name, inner]) => fieldsOf(inner, `${prefix}${name}.`));
}

/**
 * Lists the fields that a page documents.
 * @param page - Markdown text; each field is the first cell of a table row, in backticks
 * @returns field paths, sorted
 */
export function describedFields(page: string): readonly string[] {
  return [...page.matchAll(/^\| `([\w.]+)`/gm)].map(([, name]) => name ?? '').toSorted();
}
