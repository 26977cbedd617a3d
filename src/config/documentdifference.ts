/** Differences between two sets of documents, such as the changes that a publication makes. */
import type { Documents } from './documents.js';

/** Document kinds, in the order in which output lists them. */
export const DOCUMENT_KINDS = ['workspaces', 'budgets', 'routes', 'upstreams', 'plans'] as const;

/** Document kind, named like its list in service files. */
export type DocumentKind = (typeof DOCUMENT_KINDS)[number];

/** One document that differs. */
export interface DocumentDifference {
  readonly change: 'added' | 'changed' | 'removed';
  readonly kind: DocumentKind;
  readonly name: string;
  /** Fields that differ; empty if the document was added or removed. */
  readonly fields: readonly string[];
}

type Fields = Readonly<Record<string, unknown>>;

function documentsByName(documents: Documents, kind: DocumentKind): ReadonlyMap<string, Fields> {
  return new Map(documents[kind].map((document) => [document.name, document]));
}

function changedFields(before: Fields, after: Fields): readonly string[] {
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields.filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]));
}

function compareKind(
  kind: DocumentKind,
  before: ReadonlyMap<string, Fields>,
  after: ReadonlyMap<string, Fields>,
): readonly DocumentDifference[] {
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names.flatMap((name): readonly DocumentDifference[] => {
    const old = before.get(name);
    const next = after.get(name);
    if (!old) return [{ change: 'added', kind, name, fields: [] }];
    if (!next) return [{ change: 'removed', kind, name, fields: [] }];
    const fields = changedFields(old, next);
    return fields.length > 0 ? [{ change: 'changed', kind, name, fields }] : [];
  });
}

/**
 * Compares the documents in force with those to publish.
 * @param before - documents in force
 * @param after - documents to publish
 * @returns every document that differs, ordered by kind and name
 */
export function compareDocuments(
  before: Documents,
  after: Documents,
): readonly DocumentDifference[] {
  return DOCUMENT_KINDS.flatMap((kind) =>
    compareKind(kind, documentsByName(before, kind), documentsByName(after, kind)),
  );
}
