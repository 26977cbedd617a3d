/**
 * Copies that a backup stores of one holder's lines in one shard, as plain data and pure functions.
 */
import type { z } from 'zod';
import type { ChargeLine, Exposure } from '../budget/index.js';
import type { copyLinesSchema, linesCopiedSchema } from './messages.js';

/** Lines and exposures that a holder sends to its backup. */
export type CopyBatch = z.infer<typeof copyLinesSchema>;

/** Answer of a backup. */
export type CopyVerdict = z.infer<typeof linesCopiedSchema>;

/** State that a backup stores of one holder in one shard. */
export interface Copies {
  /** Whether a recoverer has fenced the holder; its batches are then refused. */
  readonly fenced: boolean;
  /** Consecutive lines that are not known to be settled in the store. */
  readonly lines: readonly ChargeLine[];
  /** Highest sequence that is stored here or settled in the store. */
  readonly through: number;
  /** Highest sequence that is settled in the store, as far as the holder has reported. */
  readonly settled: number;
  readonly exposures: readonly Exposure[];
  /** Units per budget that the holder may have committed without this backup knowing. */
  readonly window: number;
}

/** Copies of a holder that has sent nothing. */
export const NO_COPIES: Copies = {
  fenced: false,
  lines: [],
  through: 0,
  settled: 0,
  exposures: [],
  window: 0,
};

/** Result of a batch: the updated copies and the answer to the holder. */
export interface BatchResult {
  readonly copies: Copies;
  readonly verdict: CopyVerdict;
}

function mergeExposure(known: Exposure | undefined, given: Exposure): Exposure {
  if (!known) return given;
  return {
    budget: given.budget,
    reservedTotal: Math.max(known.reservedTotal, given.reservedTotal),
    releasedTotal: Math.max(known.releasedTotal, given.releasedTotal),
    passed: Math.max(known.passed, given.passed),
  };
}

/**
 * Merges two reports of the same holder. The counters only grow, so the order does not matter.
 * @param known - exposures on record
 * @param given - exposures of a message
 * @returns the latest counters of each budget
 */
export function mergeExposures(
  known: readonly Exposure[],
  given: readonly Exposure[],
): readonly Exposure[] {
  const merged = new Map(known.map((exposure) => [exposure.budget, exposure]));
  given.forEach((exposure) => {
    merged.set(exposure.budget, mergeExposure(merged.get(exposure.budget), exposure));
  });
  return [...merged.values()];
}

function refuse(copies: Copies, verdict: CopyVerdict['verdict']): BatchResult {
  return { copies, verdict: { type: 'lines-copied', verdict, through: copies.through } };
}

/**
 * Stores a batch of a holder, or refuses it.
 * @param copies - copies on record
 * @param batch - the batch
 * @param maxNewLines - maximum number of new lines that the backup has memory for
 * @returns the copies and the answer
 */
export function acceptBatch(copies: Copies, batch: CopyBatch, maxNewLines: number): BatchResult {
  if (copies.fenced) return refuse(copies, 'fenced');
  const through = Math.max(copies.through, batch.settled);
  const newLines = batch.lines.filter(({ sequence }) => sequence > through);
  if (newLines[0] && newLines[0].sequence !== through + 1) return refuse(copies, 'gap');
  if (newLines.length > maxNewLines) return refuse(copies, 'full');
  const settled = Math.max(copies.settled, batch.settled);
  const next: Copies = {
    fenced: false,
    lines: [...copies.lines, ...newLines].filter(({ sequence }) => sequence > settled),
    through: newLines.at(-1)?.sequence ?? through,
    settled,
    exposures: mergeExposures(copies.exposures, batch.exposures),
    window: Math.max(copies.window, batch.window),
  };
  return {
    copies: next,
    verdict: { type: 'lines-copied', verdict: 'kept', through: next.through },
  };
}

/**
 * Fences a holder: all further batches of it are refused.
 * @param copies - copies on record
 * @returns the fenced copies
 */
export function fence(copies: Copies): Copies {
  return { ...copies, fenced: true };
}
