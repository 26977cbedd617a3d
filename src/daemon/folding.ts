/** Folds the settled lines of one shard into its statement and closes ended holders. */
import {
  applyCredits,
  closeEnded,
  fold,
  foldedMarks,
  pageKey,
  requestOf,
  shardKey,
  parseShard,
} from '../budget/index.js';
import { updateObject } from '../platform/index.js';
import { readPages, readUnfolded } from './statements.js';

import type { BudgetShard, ChargeLine, FoldedPage } from '../budget/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { StoredPage } from './statements.js';

/** Pages whose request keys are remembered: 128,000 requests of a shard. */
const KNOWN_PAGES = 128;

/** The statement as far as a folder knows it. */
interface Known {
  last: StoredPage;
  readonly requests: Set<string>;
}

/** Owns the fold of one shard; several folders do no harm, since each page is a conditional write. */
export class Folding {
  #known: Known | undefined;

  /**
   * Creates the folder of a shard.
   * @param shard - shard number
   * @param store - the object API
   * @param recorder - records what was folded
   */
  constructor(
    private readonly shard: number,
    private readonly store: ObjectStore,
    private readonly recorder: Recorder,
  ) {}

  /** Forgets what is known, when another daemon takes over. */
  forget(): void {
    this.#known = undefined;
  }

  /**
   * Folds the settled lines of the shard, credits duplicates and closes ended holders.
   * @param value - the shard as it was just read
   */
  async run(value: BudgetShard): Promise<void> {
    const known = await this.#load();
    if (!known) return;
    const marks = foldedMarks(known.last.page);
    const lines = await readUnfolded(this.store, this.shard, value, marks);
    if (lines.err) return;
    if (lines.val.length > 0 && !(await this.#write(known, value, lines.val))) {
      this.forget();
      return;
    }
    await this.#apply(known.last);
  }

  async #load(): Promise<Known | undefined> {
    if (this.#known) return this.#known;
    const pages = await readPages(this.store, this.shard, KNOWN_PAGES);
    const last = pages.ok ? pages.val.at(-1) : undefined;
    if (pages.err || !last) return undefined;
    const requests = pages.val.flatMap(({ page }) => page.lines.map(requestOf));
    this.#known = { last, requests: new Set(requests) };
    return this.#known;
  }

  async #write(known: Known, value: BudgetShard, lines: readonly ChargeLine[]): Promise<boolean> {
    const state = known;
    const present = value.holders.map(({ holder }) => holder);
    const isKnown = (request: string): boolean => state.requests.has(request);
    const folded = fold({ page: state.last.page, lines, isKnown, present });
    const begins = folded.begins || state.last.number === 0;
    const number = begins ? state.last.number + 1 : state.last.number;
    const expected = begins ? 0 : state.last.version;
    const written = await this.store.write(pageKey(this.shard, number), folded.page, expected);
    if (written.err) return false;
    this.#record(state.last, folded, lines);
    folded.page.lines.forEach((line) => state.requests.add(requestOf(line)));
    state.last = { number, version: written.val, page: folded.page };
    return true;
  }

  #record(last: StoredPage, folded: FoldedPage, lines: readonly ChargeLine[]): void {
    const detail = `shard ${this.shard}: ${lines.length} lines`;
    this.recorder.record('statementFolded', { detail });
    const before = folded.begins ? 0 : last.page.duplicates.length;
    const repeated = folded.page.duplicates.slice(before);
    repeated.forEach(({ key, budget }) => {
      this.recorder.record('duplicateCredited', { request: key, budget });
    });
  }

  async #apply({ page }: StoredPage): Promise<void> {
    const kind = { key: shardKey(this.shard), parse: parseShard };
    await updateObject(this.store, kind, (shard) => applyCredits(shard, page));
    const marks = foldedMarks(page);
    const closed = await updateObject(this.store, kind, (shard) => closeEnded(shard, marks));
    if (closed.ok && closed.val > 0) {
      this.recorder.record('holdersClosed', { detail: `shard ${this.shard}: ${closed.val}` });
    }
  }
}
