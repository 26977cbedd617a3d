/** Charge lines: what one answered request costs its budget. */
import { z } from 'zod';

/** Schema of a charge line, in the store and between daemons. */
export const chargeLineSchema = z
  .object({
    /** Idempotency key of the request, unique within its workspace. */
    key: z.string(),
    workspace: z.string(),
    budget: z.string(),
    units: z.number().int().nonnegative(),
    /** Incarnation that recorded the line. */
    holder: z.string(),
    /** Position among the lines of this holder in this shard; the first is 1. */
    sequence: z.number().int().positive(),
    /** Milliseconds since the epoch. */
    at: z.number(),
  })
  .readonly();

/** One billed request. */
export type ChargeLine = z.infer<typeof chargeLineSchema>;

/** Schema of a segment: consecutive lines of one holder in one shard. */
export const segmentSchema = z.object({ lines: z.array(chargeLineSchema).readonly() }).readonly();

/** Consecutive lines of one holder in one shard. */
export type Segment = z.infer<typeof segmentSchema>;

/** Digits of a sequence in an object key, so that keys sort by sequence. */
const SEQUENCE_DIGITS = 12;

/**
 * Gives the key prefix of the segments of a shard.
 * @param shard - shard number
 * @returns the prefix, with its closing slash
 */
export function segmentPrefix(shard: number): string {
  return `charges/${shard}/`;
}

/**
 * Names the segment object that starts at a sequence.
 * @param shard - shard number
 * @param holder - incarnation that recorded the lines
 * @param first - sequence of the first line
 * @returns the object key
 */
export function segmentKey(shard: number, holder: string, first: number): string {
  return `${segmentPrefix(shard)}${holder}/${String(first).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Most bytes of lines in one object; the store takes 1 MB. */
const MAX_OBJECT_LINE_BYTES = 400_000;

/**
 * Takes as many lines from the front as fit into one object beside as many already there.
 * @param lines - lines in order
 * @param maxLines - most lines to take
 * @returns at least one line, if there is one
 */
export function takeFittingLines(
  lines: readonly ChargeLine[],
  maxLines: number,
): readonly ChargeLine[] {
  let bytes = 0;
  const end = lines.slice(0, maxLines).findIndex((line) => {
    bytes += Buffer.byteLength(JSON.stringify(line));
    return bytes > MAX_OBJECT_LINE_BYTES;
  });
  return lines.slice(0, end < 0 ? maxLines : Math.max(1, end));
}

/**
 * Says whether lines leave no room in their object for as many again.
 * @param lines - lines of the object
 * @param maxLines - most lines of an object
 * @returns whether a new object should begin
 */
export function isObjectFull(lines: readonly ChargeLine[], maxLines: number): boolean {
  return (
    lines.length >= maxLines || Buffer.byteLength(JSON.stringify(lines)) >= MAX_OBJECT_LINE_BYTES
  );
}
