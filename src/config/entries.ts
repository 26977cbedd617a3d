/** Documents one by one, with the file and position that they come from. */
import { DOCUMENT_KINDS } from './documentdifference.js';

import type { DocumentKind } from './documentdifference.js';
import type { Documents } from './documents.js';

/** One document of a kind and where it stands. */
interface EntryOf<Kind extends DocumentKind> {
  readonly kind: Kind;
  readonly document: Documents[Kind][number];
  /** Position of its file among the files of the run. */
  readonly source: number;
  /** Position within the list of its kind in that file. */
  readonly index: number;
}

/** One document and where it stands. */
export type Entry = { [Kind in DocumentKind]: EntryOf<Kind> }[DocumentKind];

/** What people call one document of each kind. */
export const KIND_SINGULARS: Readonly<Record<DocumentKind, string>> = {
  workspaces: 'workspace',
  budgets: 'budget',
  routes: 'route',
  upstreams: 'upstream',
  plans: 'plan',
};

/**
 * Lists the documents of a file.
 * @param documents - what the file declares
 * @param source - position of the file among the files of the run
 * @returns the documents one by one
 */
export function entriesOf(documents: Documents, source: number): readonly Entry[] {
  return DOCUMENT_KINDS.flatMap((kind) =>
    documents[kind].map((document, index) => ({ kind, document, source, index }) as Entry),
  );
}

/**
 * Puts documents together again.
 * @param entries - documents one by one
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
