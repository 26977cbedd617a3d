/** Copies that a backup keeps of one holder's lines in one shard, as plain data and rules. */
import type { z } from 'zod';
import type { ChargeLine, Exposure } from '../budget/index.js';
import type { copyLinesSchema, linesCopiedSchema } from './messages.js';

/** Lines and exposures that a holder hands to its backup. */
export type CopyBatch = z.infer<typeof copyLinesSchema>;

/** Answer of a backup. */
export type CopyVerdict = z.infer<typeof linesCopiedSchema>;

/** What a backup keeps of one holder in one shard. */
export interface Copies {
  readonly fenced: boolean;
  /** Consecutive lines that the store may not hold. */
  readonly lines: readonly ChargeLine[];
  /** Highest sequence that is kept here or in the store. */
  readonly through: number;
  readonly settled: number;
  readonly exposures: readonly Exposure[];
  readonly window: number;
}

/** Copies of a holder that has handed over nothing. */
export const NO_COPIES: Copies = {
  fenced: false,
  lines: [],
  through: 0,
  settled: 0,
  exposures: [],
  window: 0,
};

/** Copies after a batch, and the answer to the holder. */
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
 * Merges two reports of the same holder; their counters only grow, so order does not matter.
 * @param known - exposures on record
 * @param given - exposures of a message
 * @returns the later state of each budget
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
 * Takes a batch of a holder.
 * @param copies - copies on record
 * @param batch - the batch
 * @param maxNewLines - further lines that fit into memory
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
 * Fences a holder: from now on every batch of it is refused.
 * @param copies - copies on record
 * @returns the fenced copies
 */
export function fence(copies: Copies): Copies {
  return { ...copies, fenced: true };
}
