/** Records charge lines, has them copied, and delivers them to the store. */
import { parseShard, segmentKey, settle, shardKey, shardOf } from '../budget/index.js';
import { updateObject } from '../platform/index.js';

import type { ChargeLine } from '../budget/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';
import type { ConfigTask } from './configtask.js';

/** Interval between deliveries, in milliseconds. */
const FLUSH_MS = 500;

/** What is to be charged. */
export interface Charge {
  readonly key: string;
  readonly workspace: string;
  readonly budget: string;
  readonly units: number;
}

/** Charge lines of one shard. */
export interface ShardLines {
  readonly shard: number;
  readonly lines: readonly ChargeLine[];
}

/** Lines of one shard that the store does not hold yet. */
interface Outbox extends ShardLines {
  next: number;
  settled: number;
  lines: readonly ChargeLine[];
  flushing: Promise<boolean> | undefined;
}

/** What charges need. */
export interface ChargeContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly config: ConfigTask;
  readonly recorder: Recorder;
}

/** Owns the unflushed charge lines of one daemon. */
export class Charges {
  readonly #outboxes = new Map<number, Outbox>();

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - store, backups and identity
   */
  constructor(private readonly ctx: ChargeContext) {}

  /** Begins to deliver at intervals. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.flush();
    }, FLUSH_MS);
  }

  /**
   * Records a charge and waits until a second daemon or the store holds it.
   * @param charge - what is to be charged
   * @returns whether the line is durable
   */
  async record(charge: Charge): Promise<boolean> {
    const shards = this.ctx.config.current?.manifest.budgetShards ?? 1;
    const outbox = this.#outboxOf(shardOf(charge.budget, shards));
    const line: ChargeLine = {
      ...charge,
      holder: this.ctx.self,
      sequence: outbox.next,
      at: Date.now(),
    };
    outbox.next += 1;
    outbox.lines = [...outbox.lines, line];
    if (await this.ctx.backups.copy(outbox.shard, [line], outbox.settled)) {
      this.ctx.recorder.record('chargeCopied', { request: charge.key, budget: charge.budget });
      return true;
    }
    await this.#deliver(outbox);
    return outbox.settled >= line.sequence;
  }

  /**
   * Delivers every line that the store does not hold.
   * @returns whether all of them were delivered
   */
  async flush(): Promise<boolean> {
    const results = await Promise.all(
      [...this.#outboxes.values()].map((outbox) => this.#deliver(outbox)),
    );
    return results.every(Boolean);
  }

  /** Lines that the store does not hold yet. */
  get unflushed(): readonly ShardLines[] {
    return [...this.#outboxes.values()]
      .filter(({ lines }) => lines.length > 0)
      .map(({ shard, lines }) => ({ shard, lines }));
  }

  /** Ends the deliveries at intervals. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #outboxOf(shard: number): Outbox {
    const found = this.#outboxes.get(shard);
    if (found) return found;
    const outbox: Outbox = { shard, next: 1, settled: 0, lines: [], flushing: undefined };
    this.#outboxes.set(shard, outbox);
    return outbox;
  }

  async #deliver(outbox: Outbox): Promise<boolean> {
    const state = outbox;
    // A line that was recorded while a delivery runs needs one more.
    if (state.flushing) await state.flushing;
    if (state.flushing) return state.flushing;
    if (state.lines.length === 0) return true;
    state.flushing = this.#send(state).finally(() => {
      state.flushing = undefined;
    });
    return state.flushing;
  }

  async #send(outbox: Outbox): Promise<boolean> {
    const state = outbox;
    const { store, self, recorder } = this.ctx;
    const { lines, shard } = state;
    const [first] = lines;
    if (!first) return true;
    const segment = await store.write(segmentKey(shard, first), { lines }, 0);
    if (segment.err && segment.val.problem !== 'conflict') return this.#delayed(segment.val.text);
    const kind = { key: shardKey(shard), parse: parseShard };
    const mark = await updateObject(store, kind, (value) => settle(value, self, lines));
    if (mark.err) return this.#delayed(mark.val.text);
    state.settled = mark.val;
    state.lines = state.lines.filter(({ sequence }) => sequence > mark.val);
    recorder.record('chargesDelivered', { detail: `shard ${shard} through ${mark.val}` });
    return true;
  }

  #delayed(detail: string): boolean {
    this.ctx.recorder.record('chargesDelayed', { detail });
    return false;
  }
}
