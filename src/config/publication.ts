/** What operators send to publish and what they are told. */
import { z } from 'zod';

import { failure } from '../kernel/index.js';
import { compareDocuments } from './documentdifference.js';
import { documentsSchema } from './documents.js';

import type { Failure } from '../kernel/index.js';
import type { Documents } from './documents.js';
import type { PublicationRecord, PublishOutcome } from './revision.js';

/** Longest summary of a publication, in characters. */
const MAX_SUMMARY_LENGTH = 100;

/** Documents that a summary or a refusal names. */
const MAX_LISTED_NAMES = 3;

/** Schema of a publication, as the command-line tool sends it. */
export const publicationOrderSchema = z
  .strictObject({
    operation: z.string().min(1).max(128),
    author: z.string().min(1).max(64),
    /** Revision that the change was compared with. */
    base: z.number().int().nonnegative(),
    /** Everything that shall be in force; absent if "digests" is given. */
    documents: documentsSchema.optional(),
    /** Digests of the pieces, each in force already or sent before. */
    digests: z.array(z.string()).readonly().optional(),
    /** Whether a publication that removes documents is refused. */
    keep: z.boolean().optional(),
    /** Budget shards of the first publication; fixed from then on. */
    budgetShards: z.number().int().positive().max(4_096).optional(),
  })
  .readonly();

/** A publication, as the command-line tool sends it. */
export type PublicationOrder = z.infer<typeof publicationOrderSchema>;

/** What came of a publication. */
export interface PublicationView {
  readonly result: 'published' | 'repeated' | 'unchanged';
  readonly revision: number;
  /** When the revision was published, in milliseconds since the epoch; 0 if unchanged. */
  readonly at: number;
}

/**
 * Says in a few words what a publication changes.
 * @param before - documents in force
 * @param after - documents to publish
 * @returns counts and the first names
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
 * Refuses a publication that removes documents, such as one of a directory too few.
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
 * Explains why a publication did not take effect.
 * @param outcome - what came of it
 * @param base - revision that it was compared with
 * @returns the failure; undefined if it is in force
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
