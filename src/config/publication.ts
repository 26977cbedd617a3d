/** The publish request of operators, and its result and failures. */
import * as z from 'zod';

import { failure } from '../kernel/index.js';
import { compareDocuments } from './documentdifference.js';
import { documentsSchema } from './documents.js';

import type { Failure } from '../kernel/index.js';
import type { Documents } from './documents.js';
import type { PublicationRecord, PublishOutcome } from './revision.js';

/** Maximum length of the names listed in a summary, in characters. */
const MAX_SUMMARY_LENGTH = 100;

/** Maximum number of documents that a summary or a failure lists. */
const MAX_LISTED_NAMES = 3;

/** Schema of a publication, as the command-line tool sends it. */
export const publicationOrderSchema = z
  .strictObject({
    operation: z.string().min(1).max(128),
    author: z.string().min(1).max(64),
    /** Revision that the change was compared with. */
    base: z.number().int().nonnegative(),
    /** All documents of the new revision; absent if "digests" is given. */
    documents: documentsSchema.optional(),
    /** Digests of all pieces of the new revision; each is in force or was uploaded before. */
    digests: z.array(z.string()).readonly().optional(),
    /** Whether to refuse the publication if it removes documents. */
    keep: z.boolean().optional(),
    /** Number of budget shards; only the first publication sets it. */
    budgetShards: z.number().int().positive().max(4_096).optional(),
  })
  .readonly();

/** A publication, as the command-line tool sends it. */
export type PublicationOrder = z.infer<typeof publicationOrderSchema>;

/** Result of an accepted publication. */
export interface PublicationView {
  readonly result: 'published' | 'repeated' | 'unchanged';
  readonly revision: number;
  /** Time of publication, in milliseconds since the epoch; 0 if unchanged. */
  readonly at: number;
}

/**
 * Summarizes the changes of a publication.
 * @param before - documents in force
 * @param after - documents to publish
 * @returns the first changes, and the number of further ones
 */
export function summarizeChanges(before: Documents, after: Documents): string {
  const differences = compareDocuments(before, after);
  const names = differences.map(({ change, kind, name }) => `${change} ${kind} ${name}`);
  const text = names.slice(0, MAX_LISTED_NAMES).join(', ');
  const more =
    names.length > MAX_LISTED_NAMES ? ` and ${names.length - MAX_LISTED_NAMES} more` : '';
  return `${text.slice(0, MAX_SUMMARY_LENGTH)}${more}`;
}

/**
 * Returns a failure if a publication would remove documents, such as when a directory was omitted.
 * @param before - documents in force
 * @param after - documents to publish
 * @returns the failure; undefined if nothing is removed
 */
export function removalFailure(before: Documents, after: Documents): Failure | undefined {
  const removed = compareDocuments(before, after).filter(({ change }) => change === 'removed');
  if (removed.length === 0) return undefined;
  const names = removed.slice(0, MAX_LISTED_NAMES).map(({ kind, name }) => `${kind} ${name}`);
  const more =
    removed.length > MAX_LISTED_NAMES ? ` and ${removed.length - MAX_LISTED_NAMES} more` : '';
  return failure('removal', `${names.join(', ')}${more}`);
}

function describePublication({
  revision,
  author,
  at,
  operation,
  summary,
}: PublicationRecord): string {
  const when = new Date(at).toISOString();
  return `revision ${revision} by ${author} at ${when} (operation ${operation}: ${summary})`;
}

/**
 * Returns the failure of a publication that was not applied.
 * @param outcome - outcome of the publication
 * @param base - revision that it was compared with
 * @returns the failure; undefined if the outcome is not a failure
 */
export function publishFailure(outcome: PublishOutcome, base: number): Failure | undefined {
  if (outcome.result === 'reused') {
    return failure('operation-reused', describePublication(outcome.record));
  }
  if (outcome.result !== 'conflict') return undefined;
  const publications = outcome.since.toReversed().map(describePublication).join(', then ');
  const cause = publications === '' ? 'a revision that is no longer remembered' : publications;
  return failure('conflict', `${cause}; yours was compared with revision ${base}`);
}
