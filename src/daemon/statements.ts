/** Reads the statement of a shard: its pages, and settled lines not yet folded into a page. */
import {
  EMPTY_PAGE,
  foldedMarks,
  pagePrefix,
  pageSchema,
  parseShard,
  requestIdOf,
  segmentKey,
  segmentSchema,
  shardKey,
} from '../budget/index.js';
import { Err, Ok } from '../kernel/index.js';

import type { BudgetShard, ChargeLine, StatementPage } from '../budget/index.js';
import type { Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from '../store/index.js';

/** Maximum number of objects read concurrently, to stay within the read rate limit of the store. */
const MAX_PARALLEL_READS = 8;

/** A page with its number and version in the store. */
export interface StoredPage {
  /** Page number, from 1; 0 for the empty page of a statement that has no stored page yet. */
  readonly number: number;
  readonly version: number;
  readonly page: StatementPage;
}

async function readAll(
  store: ObjectStore,
  keys: readonly string[],
): Promise<Result<readonly { readonly version: number; readonly value: unknown }[], StoreError>> {
  const values: { readonly version: number; readonly value: unknown }[] = [];
  for (let start = 0; start < keys.length; start += MAX_PARALLEL_READS) {
    const chunk = keys.slice(start, start + MAX_PARALLEL_READS);
    // Chunks are read one by one, so that a long statement does not exhaust the read rate limit.
    // eslint-disable-next-line no-await-in-loop
    const found = await Promise.all(chunk.map((key) => store.read(key)));
    for (const result of found) {
      if (result.err) return result;
      values.push(result.val);
    }
  }
  return Ok(values);
}

/**
 * Reads the newest pages of a shard.
 * @param store - object store
 * @param shard - shard number
 * @param maxPages - most pages to read
 * @returns the pages in order; only the empty page 0 if there are none
 */
export async function readPages(
  store: ObjectStore,
  shard: number,
  maxPages: number,
): Promise<Result<readonly StoredPage[], StoreError>> {
  const listed = await store.list(pagePrefix(shard));
  if (listed.err) return listed;
  const keys = listed.val.map(({ key }) => key).slice(-maxPages);
  const found = await readAll(store, keys);
  if (found.err) return found;
  const pages = found.val.map(({ version, value }, index) => ({
    number: Number((keys[index] ?? '').slice(pagePrefix(shard).length)),
    version,
    page: pageSchema.parse(value),
  }));
  return Ok(pages.length > 0 ? pages : [{ number: 0, version: 0, page: EMPTY_PAGE }]);
}

/** Reads the settled lines of one holder whose sequence is above `after` and at most `through`. */
async function readHolderLines(
  store: ObjectStore,
  shard: number,
  range: { readonly holder: string; readonly after: number; readonly through: number },
): Promise<Result<readonly ChargeLine[], StoreError>> {
  const { holder, through } = range;
  const lines: ChargeLine[] = [];
  let { after } = range;
  while (after < through) {
    // Each segment begins where the one before it ended.
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(segmentKey(shard, holder, after + 1));
    if (found.err) return found;
    const key = segmentKey(shard, holder, after + 1);
    if (found.val.value === null) {
      return Err({ problem: 'refused', key, text: 'a settled segment is missing' });
    }
    const segment = segmentSchema.parse(found.val.value).lines;
    lines.push(...segment.filter(({ sequence }) => sequence <= through));
    after = segment.at(-1)?.sequence ?? through;
  }
  return Ok(lines);
}

/**
 * Reads the settled lines of a shard that are not folded into a page.
 * @param store - object store
 * @param shard - shard number
 * @param value - the shard
 * @param marks - highest folded sequence of each holder
 * @returns the lines, sorted by sequence within each holder
 */
export async function readUnfolded(
  store: ObjectStore,
  shard: number,
  value: BudgetShard,
  marks: ReadonlyMap<string, number>,
): Promise<Result<readonly ChargeLine[], StoreError>> {
  const lines: ChargeLine[] = [];
  for (const { holder, settled } of value.holders) {
    const after = marks.get(holder) ?? 0;
    // Holders are read one by one to stay within the read rate limit of the store.
    // eslint-disable-next-line no-await-in-loop
    const found = await readHolderLines(store, shard, { holder, after, through: settled });
    if (found.err) return found;
    lines.push(...found.val);
  }
  return Ok(lines);
}

/**
 * Reads the settled lines of a shard, without duplicates of a request.
 * @param store - object store
 * @param shard - shard number
 * @returns the billed lines
 */
export async function readStatement(
  store: ObjectStore,
  shard: number,
): Promise<Result<readonly ChargeLine[], StoreError>> {
  // The shard is read before the pages: if a holder is closed between the two reads, all its lines
  // are in the pages.
  const root = await store.read(shardKey(shard));
  if (root.err) return root;
  const pages = await readPages(store, shard, Number.MAX_SAFE_INTEGER);
  if (pages.err) return pages;
  const marks = foldedMarks(pages.val.at(-1)?.page ?? EMPTY_PAGE);
  const folded = pages.val.flatMap(({ page }) => page.lines);
  const duplicates = pages.val.flatMap(({ page }) => page.duplicates);
  const processed = new Set(
    [...folded, ...duplicates].map(({ holder, sequence }) => `${holder}/${sequence}`),
  );
  const unfolded = await readUnfolded(store, shard, parseShard(root.val.value), marks);
  if (unfolded.err) return unfolded;
  const billed = new Map(folded.map((line) => [requestIdOf(line), line]));
  unfolded.val
    .filter((line) => !processed.has(`${line.holder}/${line.sequence}`))
    .filter((line) => !billed.has(requestIdOf(line)))
    .forEach((line) => billed.set(requestIdOf(line), line));
  return Ok([...billed.values()]);
}
