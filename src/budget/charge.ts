/** Charge lines: each records the cost of one answered request. */
import * as z from 'zod';

/** Schema of a charge line, in stored objects and messages. */
export const chargeLineSchema = z
  .object({
    /** Idempotency key of the request, unique within its workspace. */
    key: z.string(),
    workspace: z.string(),
    budget: z.string(),
    units: z.number().int().nonnegative(),
    /** Incarnation that recorded the line. */
    holder: z.string(),
    /** Sequence number among the lines of this holder in this shard; the first is 1. */
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

/** Digits of a sequence in an object key; zero padding makes keys sort by sequence. */
const SEQUENCE_DIGITS = 12;

/**
 * Returns the key prefix of the segments of a shard.
 * @param shard - shard number
 * @returns the prefix, with a trailing slash
 */
export function segmentPrefix(shard: number): string {
  return `charges/${shard}/`;
}

/**
 * Returns the key of the segment object that starts at a sequence.
 * @param shard - shard number
 * @param holder - incarnation that recorded the lines
 * @param first - sequence of the first line
 * @returns the object key
 */
export function segmentKey(shard: number, holder: string, first: number): string {
  return `${segmentPrefix(shard)}${holder}/${String(first).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Maximum size of the lines in one object, in bytes; the store accepts objects of up to 1 MB. */
const MAX_OBJECT_LINE_BYTES = 400_000;

/**
 * Takes as many leading lines as fit into one object that may already hold as many bytes of lines.
 * @param lines - lines in order
 * @param maxLines - maximum number of lines to take
 * @returns the leading lines; at least one unless there are none
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
 * Returns whether an object is full, by number or size of its lines.
 * @param lines - lines in the object
 * @param maxLines - maximum number of lines in an object
 * @returns whether further lines belong in a new object
 */
export function isObjectFull(lines: readonly ChargeLine[], maxLines: number): boolean {
  return (
    lines.length >= maxLines || Buffer.byteLength(JSON.stringify(lines)) >= MAX_OBJECT_LINE_BYTES
  );
}
