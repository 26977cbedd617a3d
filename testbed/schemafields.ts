/** Lists the fields of a settings schema and of the page that describes it. */
import type { z } from 'zod';

/** What a schema of either kind holds. */
interface SchemaDef {
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly innerType?: z.ZodType;
}

/**
 * Lists the fields of a schema.
 * @param schema - an object schema
 * @param prefix - path of the object, with a dot behind it
 * @returns paths such as "listen.peers"
 */
export function fieldsOf(schema: z.ZodType, prefix = ''): readonly string[] {
  const { shape, innerType } = schema.def as SchemaDef;
  if (innerType) return fieldsOf(innerType, prefix);
  if (!shape) return [prefix.slice(0, -1)];
  return Object.entries(shape).flatMap(([name, inner]) => fieldsOf(inner, `${prefix}${name}.`));
}

/**
 * Lists the fields that a page describes.
 * @param page - text of the page; each field begins a row of a table
 * @returns the fields, sorted
 */
export function describedFields(page: string): readonly string[] {
  return [...page.matchAll(/^\| `([\w.]+)`/gm)].map(([, name]) => name ?? '').toSorted();
}
