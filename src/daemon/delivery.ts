/**
 * Delivers charge lines to the store: writes a segment, then settles it with a conditional update
 * of the shard.
 */
import {
  parseShard,
  segmentKey,
  segmentSchema,
  settle,
  shardKey,
  takeFittingLines,
} from '../budget/index.js';
import { Err, Ok } from '../kernel/index.js';
import { updateObject } from '../store/index.js';

import type { ChargeLine, EntryAnswer } from '../budget/index.js';
import type { Incarnation, Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from '../store/index.js';

/** Maximum number of lines in one segment. */
const SEGMENT_LINES = 2_000;

/** Lines of one holder in one shard, and the incarnation that delivers them. */
export interface DeliveryJob {
  readonly shard: number;
  readonly holder: Incarnation;
  readonly by: Incarnation;
  /** Highest sequence known to be settled. */
  readonly settled: number;
  /** Consecutive lines, sorted by sequence. */
  readonly lines: readonly ChargeLine[];
}

/** Writes one segment. If the segment exists, its lines are returned instead of the given ones. */
async function writeSegment(
  store: ObjectStore,
  job: DeliveryJob,
  lines: readonly ChargeLine[],
): Promise<Result<readonly ChargeLine[], StoreError>> {
  const key = segmentKey(job.shard, job.holder, lines[0]?.sequence ?? 1);
  const written = await store.write(key, { lines }, 0);
  if (written.ok) return Ok(lines);
  if (written.val.problem !== 'conflict') return Err(written.val);
  const found = await store.read(key);
  return found.map(({ value }) => segmentSchema.parse(value).lines);
}

/**
 * Delivers the lines of a job, one segment at a time, until all are settled or the shard refuses
 * them.
 * @param store - object store
 * @param job - the lines and the incarnation that delivers them
 * @returns the resulting entry, fenced if the lines may not be delivered; or the error of the store
 */
export async function deliverLines(
  store: ObjectStore,
  job: DeliveryJob,
): Promise<Result<EntryAnswer, StoreError>> {
  const { shard, holder, by } = job;
  const kind = { key: shardKey(shard), parse: parseShard };
  let lastAnswer: EntryAnswer = {
    settled: job.settled,
    backup: null,
    standby: null,
    fenced: false,
  };
  for (;;) {
    const from = lastAnswer.settled;
    const batch = takeFittingLines(
      job.lines.filter(({ sequence }) => sequence > from),
      SEGMENT_LINES,
    );
    if (batch.length === 0) return Ok(lastAnswer);
    // Each segment begins where the one before it ended.
    // eslint-disable-next-line no-await-in-loop
    const segment = await writeSegment(store, job, batch);
    if (segment.err) return segment;
    const delivery = { holder, by, lines: segment.val };
    // eslint-disable-next-line no-await-in-loop
    const settled = await updateObject(store, kind, (value) => settle(value, delivery));
    if (settled.err || settled.val.fenced || settled.val.settled === from) return settled;
    lastAnswer = settled.val;
  }
}
