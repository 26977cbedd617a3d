/** A flat list of documents, each with the file and position that it was read from. */
import { DOCUMENT_KINDS } from './documentdifference.js';

import type { DocumentKind } from './documentdifference.js';
import type { Documents } from './documents.js';

/** One document of a kind, with its file and position. */
interface EntryOf<Kind extends DocumentKind> {
  readonly kind: Kind;
  readonly document: Documents[Kind][number];
  /** Index of its file among the files of the run. */
  readonly source: number;
  /** Index within the list of its kind in that file. */
  readonly index: number;
}

/** One document of any kind, with its file and position. */
export type Entry = { [Kind in DocumentKind]: EntryOf<Kind> }[DocumentKind];

/** Singular of each kind, for messages. */
export const KIND_SINGULARS: Readonly<Record<DocumentKind, string>> = {
  workspaces: 'workspace',
  budgets: 'budget',
  routes: 'route',
  upstreams: 'upstream',
  plans: 'plan',
};

/**
 * Flattens the documents of a file into a list.
 * @param documents - documents of the file
 * @param source - index of the file among the files of the run
 * @returns one entry for each document
 */
export function entriesOf(documents: Documents, source: number): readonly Entry[] {
  return DOCUMENT_KINDS.flatMap((kind) =>
    documents[kind].map((document, index) => ({ kind, document, source, index }) as Entry),
  );
}

/**
 * Groups entries by document kind; the inverse of "entriesOf".
 * @param entries - entries of any kinds
 * @returns the documents by kind, in the given order
 */
export function documentsOf(entries: readonly Entry[]): Documents {
  const pick = <Kind extends DocumentKind>(kind: Kind): Documents[Kind] =>
    entries
      .filter((entry) => entry.kind === kind)
      .map(({ document }) => document) as unknown as Documents[Kind];
  return {
    workspaces: pick('workspaces'),
    budgets: pick('budgets'),
    routes: pick('routes'),
    upstreams: pick('upstreams'),
    plans: pick('plans'),
  };
}
