/** Looks after shards: recovers holders that have stopped and folds the statements. */
import { parseShard, shardKey } from '../budget/index.js';
import { shardMaintainers } from '../fleet/index.js';
import { instanceOf } from '../kernel/index.js';
import { Folding } from './folding.js';
import { recoverHolder } from './recovering.js';

import type { BudgetShard, HolderEntry } from '../budget/index.js';
import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';
import type { ConfigTask } from './configtask.js';

/** Interval between rounds, in milliseconds. */
const ROUND_MS = 1_000;

/** Silence after which a takeover begins; the fence makes it safe, not this time. */
const SUSPECT_MS = 4_000;

/** Daemons in the order of a shard that may look after it; the first that answers does. */
const MAX_CARERS = 4;

/** What the care of shards needs. */
export interface CareContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly network: PeerNetwork;
  readonly config: ConfigTask;
  readonly recorder: Recorder;
}

/** Since when an incarnation has been silent, and its entry at that time. */
interface Suspicion {
  readonly since: number;
  readonly entry: string;
}

/** Owns the care of the shards that this daemon is in charge of. */
export class ShardCare {
  readonly #foldings = new Map<number, Folding>();

  readonly #suspicions = new Map<string, Suspicion>();

  readonly #carers = new Map<number, readonly InstanceName[]>();

  #list = '';

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  /**
   * Creates the task.
   * @param ctx - store, backups, network and identity
   */
  constructor(private readonly ctx: CareContext) {}

  /** Begins the rounds. */
  start(): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(
      () => {
        void this.#round()
          .catch((err: unknown) => {
            this.ctx.recorder.record('shardCareFailed', { detail: String(err) });
          })
          .finally(() => this.start());
      },
      ROUND_MS * (0.5 + Math.random()),
    );
  }

  /** Ends the rounds. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #round(): Promise<void> {
    const shards = this.ctx.config.current?.manifest.budgetShards ?? 0;
    for (let shard = 0; shard < shards && !this.#isStopped; shard += 1) {
      // Shards are looked after one by one, to stay inside the rates of the store.
      // eslint-disable-next-line no-await-in-loop
      if (await this.#isInCharge(shard)) await this.#care(shard);
      else this.#foldings.get(shard)?.forget();
    }
  }

  async #isInCharge(shard: number): Promise<boolean> {
    const { self, backups } = this.ctx;
    const carers = this.#carersOf(shard);
    const before = carers.slice(0, carers.indexOf(instanceOf(self)));
    // Daemons further down wait until the instance list drops those before them.
    if (before.length >= MAX_CARERS) return false;
    const answers = await Promise.all(before.map((name) => backups.query(name, self)));
    return answers.every((answer) => answer === undefined);
  }

  /** The order is worked out again only when the instance list has changed. */
  #carersOf(shard: number): readonly InstanceName[] {
    const { self, network } = this.ctx;
    const live = network.peers().filter(({ state }) => state === 'live');
    const names = [instanceOf(self), ...live.map(({ name }) => name)];
    const list = names.join('\n');
    if (list !== this.#list) this.#carers.clear();
    this.#list = list;
    const carers = this.#carers.get(shard) ?? shardMaintainers(shard, names).slice(0, MAX_CARERS);
    this.#carers.set(shard, carers);
    return carers.includes(instanceOf(self)) ? carers : [...carers, instanceOf(self)];
  }

  async #care(shard: number): Promise<void> {
    const found = await this.ctx.store.read(shardKey(shard));
    if (found.err || found.val.value === null) return;
    const value = parseShard(found.val.value);
    await Promise.all(value.holders.map((entry) => this.#check(shard, entry)));
    await this.#foldingOf(shard).run(value satisfies BudgetShard);
  }

  async #check(shard: number, entry: HolderEntry): Promise<void> {
    if (entry.state === 'ended' || entry.holder === this.ctx.self) return;
    const isMine = entry.state === 'recovering' && entry.recoverer === this.ctx.self;
    if (!isMine && !(await this.#hasStopped(shard, entry))) return;
    await recoverHolder(this.ctx, shard, entry);
  }

  /** Whether the holder, or its recoverer, has long given no sign of life to anybody. */
  async #hasStopped(shard: number, entry: HolderEntry): Promise<boolean> {
    const { backups, self } = this.ctx;
    const watched = entry.state === 'active' ? entry.holder : (entry.recoverer ?? entry.holder);
    const slot = `${shard}/${entry.holder}`;
    const seen = watched === self || (await backups.isThere(watched, self));
    if (seen) {
      this.#suspicions.delete(slot);
      return false;
    }
    // What others note about the holder is no sign of life.
    const state = JSON.stringify({ ...entry, cause: '' });
    const known = this.#suspicions.get(slot);
    if (known?.entry !== state) {
      // A changed entry is a sign of life of a holder that no link reaches.
      this.#suspicions.set(slot, { since: performance.now(), entry: state });
      return false;
    }
    if (performance.now() - known.since < SUSPECT_MS) return false;
    if (watched !== entry.holder) return true;
    const keepers = [entry.backup, entry.standby].filter((keeper) => keeper !== null);
    const heard = await Promise.all(keepers.map((keeper) => this.#isHeardBy(keeper, entry.holder)));
    return !heard.includes(true);
  }

  async #isHeardBy(keeper: Incarnation, holder: Incarnation): Promise<boolean> {
    const { backups, self } = this.ctx;
    const silentMs =
      keeper === self
        ? backups.silentMs(holder)
        : ((await backups.query(instanceOf(keeper), holder))?.silentMs ?? null);
    return silentMs !== null && silentMs < SUSPECT_MS;
  }

  #foldingOf(shard: number): Folding {
    const found = this.#foldings.get(shard);
    if (found) return found;
    const folding = new Folding(shard, this.ctx.store, this.ctx.recorder);
    this.#foldings.set(shard, folding);
    return folding;
  }
}
