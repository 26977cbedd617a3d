/**
 * Folds the settled charge lines of one shard into the pages of the shard's statement, and closes
 * ended holders.
 */
import {
  applyCredits,
  closeEnded,
  fold,
  foldedMarks,
  PAGE_LINES,
  pageKey,
  requestIdOf,
  shardKey,
  parseShard,
  takeFittingLines,
} from '../budget/index.js';
import { updateObject } from '../store/index.js';
import { readPages, readUnfolded } from './statements.js';

import type { BudgetShard, ChargeLine, FoldedPage } from '../budget/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { StoredPage } from './statements.js';

/** Number of newest pages whose request keys are read when a daemon begins to maintain a shard. */
const CACHED_PAGES = 128;

/** Maximum number of request keys of a shard kept in memory, about 12 MB, to find duplicates. */
const MAX_CACHED_REQUESTS = CACHED_PAGES * PAGE_LINES;

/** Last page of the statement, and the request keys of the newest pages. */
interface StatementCache {
  last: StoredPage;
  readonly requests: Set<string>;
}

/**
 * Folds the lines of one shard. Several daemons may do so concurrently, since every page is written
 * conditionally.
 */
export class StatementFolder {
  #cache: StatementCache | undefined;

  /**
   * Creates the folder of a shard.
   * @param shard - shard number
   * @param store - object store
   * @param recorder - records events
   */
  constructor(
    private readonly shard: number,
    private readonly store: ObjectStore,
    private readonly recorder: Recorder,
  ) {}

  /**
   * Drops the cached page and request keys, which may be outdated when another daemon maintains the
   * shard or a write failed.
   */
  clearCache(): void {
    this.#cache = undefined;
  }

  /**
   * Folds the settled lines of the shard, credits duplicates and closes ended holders.
   * @param value - the shard, as last read
   */
  async run(value: BudgetShard): Promise<void> {
    const cache = await this.#loadCache();
    if (!cache) return;
    const marks = foldedMarks(cache.last.page);
    const lines = await readUnfolded(this.store, this.shard, value, marks);
    if (lines.err) return;
    if (!(await this.#foldAll(cache, value, lines.val))) {
      this.clearCache();
      return;
    }
    await this.#updateShard(value, cache.last);
  }

  /** Writes pages one by one: after a long outage the lines may not fit into one object. */
  async #foldAll(
    cache: StatementCache,
    value: BudgetShard,
    lines: readonly ChargeLine[],
  ): Promise<boolean> {
    let remaining = lines;
    while (remaining.length > 0) {
      const pageLines = takeFittingLines(remaining, PAGE_LINES);
      remaining = remaining.slice(pageLines.length);
      // Each page builds on the one before it.
      // eslint-disable-next-line no-await-in-loop
      if (!(await this.#writePage(cache, value, pageLines))) return false;
    }
    return true;
  }

  async #loadCache(): Promise<StatementCache | undefined> {
    if (this.#cache) return this.#cache;
    const pages = await readPages(this.store, this.shard, CACHED_PAGES);
    const last = pages.ok ? pages.val.at(-1) : undefined;
    if (pages.err || !last) return undefined;
    const requests = pages.val.flatMap(({ page }) => page.lines.map(requestIdOf));
    this.#cache = { last, requests: new Set(requests) };
    return this.#cache;
  }

  async #writePage(
    cache: StatementCache,
    value: BudgetShard,
    lines: readonly ChargeLine[],
  ): Promise<boolean> {
    const state = cache;
    const holdersWithEntry = value.holders.map(({ holder }) => holder);
    const isKnown = (request: string): boolean => state.requests.has(request);
    const folded = fold({
      page: state.last.page,
      lines,
      isKnown,
      holdersWithEntry,
    });
    const begins = folded.isNewPage || state.last.number === 0;
    const number = begins ? state.last.number + 1 : state.last.number;
    const expected = begins ? 0 : state.last.version;
    const written = await this.store.write(pageKey(this.shard, number), folded.page, expected);
    if (written.err) return false;
    this.#recordPage(state.last, folded, lines);
    folded.page.lines.forEach((line) => state.requests.add(requestIdOf(line)));
    StatementFolder.#dropOldest(state.requests);
    state.last = { number, version: written.val, page: folded.page };
    return true;
  }

  /** Drops the oldest request keys above the maximum; a set iterates in insertion order. */
  static #dropOldest(requests: Set<string>): void {
    for (const request of requests) {
      if (requests.size <= MAX_CACHED_REQUESTS) return;
      requests.delete(request);
    }
  }

  #recordPage(last: StoredPage, folded: FoldedPage, lines: readonly ChargeLine[]): void {
    const detail = `shard ${this.shard}: ${lines.length} lines`;
    this.recorder.record('statementFolded', { detail });
    const before = folded.isNewPage ? 0 : last.page.duplicates.length;
    const repeated = folded.page.duplicates.slice(before);
    repeated.forEach(({ key, budget }) => {
      this.recorder.record('duplicateCredited', { request: key, budget });
    });
  }

  async #updateShard(value: BudgetShard, { page }: StoredPage): Promise<void> {
    const kind = { key: shardKey(this.shard), parse: parseShard };
    const marks = foldedMarks(page);
    // Each change is first tried on the shard as last read, so that the store is called only if
    // there is something to write.
    if (applyCredits(value, page).kind === 'write') {
      await updateObject(this.store, kind, (shard) => applyCredits(shard, page));
    }
    if (closeEnded(value, marks).kind === 'keep') return;
    const closed = await updateObject(this.store, kind, (shard) => closeEnded(shard, marks));
    if (closed.ok && closed.val > 0) {
      this.recorder.record('holdersClosed', { detail: `shard ${this.shard}: ${closed.val}` });
    }
  }
}
