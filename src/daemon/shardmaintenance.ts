/**
 * Periodic maintenance of shards: recovers stopped holders and folds settled lines into statements.
 */
import { parseShard, shardKey } from '../budget/index.js';
import { shardMaintainers } from '../fleet/index.js';
import { instanceOf } from '../kernel/index.js';
import { StatementFolder } from './statementfolder.js';
import { recoverHolder } from './holderrecovery.js';

import type { BudgetShard, HolderEntry } from '../budget/index.js';
import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';
import type { ConfigTask } from './configtask.js';

/** Mean pause between rounds, in milliseconds. */
const ROUND_INTERVAL_MS = 1_000;

/**
 * Time for which a holder must be unresponsive before it is recovered, in milliseconds. Safety rests on
 * the fence, not on this time.
 */
const SILENCE_TIMEOUT_MS = 4_000;

/**
 * Number of daemons that may maintain a shard, the first ones in the order of the shard; the first
 * reachable one maintains it.
 */
const MAX_MAINTAINERS = 4;

/** Dependencies of the shard maintenance. */
export interface ShardMaintenanceContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly network: PeerNetwork;
  readonly config: ConfigTask;
  readonly recorder: Recorder;
}

/**
 * Time since which a holder or its recoverer has been unreachable, and the serialised entry of the
 * holder, which has not changed since.
 */
interface Suspicion {
  readonly since: number;
  readonly snapshot: string;
}

/** Maintains the shards that this daemon is responsible for. */
export class ShardMaintenance {
  readonly #folders = new Map<number, StatementFolder>();

  readonly #suspicions = new Map<string, Suspicion>();

  readonly #maintainers = new Map<number, readonly InstanceName[]>();

  #instanceList = '';

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  /**
   * Creates the task.
   * @param ctx - store, backups, network and identity
   */
  constructor(private readonly ctx: ShardMaintenanceContext) {}

  /** Starts the periodic rounds. */
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
      ROUND_INTERVAL_MS * (0.5 + Math.random()),
    );
  }

  /** Stops the rounds. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #round(): Promise<void> {
    const shards = this.ctx.config.current?.manifest.budgetShards ?? 0;
    for (let shard = 0; shard < shards && !this.#isStopped; shard += 1) {
      // Shards are processed one by one to stay within the rate limits of the store.
      // eslint-disable-next-line no-await-in-loop
      if (await this.#isResponsible(shard)) await this.#tryMaintain(shard);
      else this.#folders.get(shard)?.clearCache();
    }
  }

  async #isResponsible(shard: number): Promise<boolean> {
    const { self, backups } = this.ctx;
    const maintainers = this.#maintainersOf(shard);
    const predecessors = maintainers.slice(0, maintainers.indexOf(instanceOf(self)));
    // Daemons further down the order must wait until some of those before them are no longer
    // listed.
    if (predecessors.length >= MAX_MAINTAINERS) return false;
    const answers = await Promise.all(predecessors.map((name) => backups.query(name, self)));
    return answers.every((answer) => answer === undefined);
  }

  /**
   * Maintainers of a shard in order, with this daemon last if it is not among them; cached until
   * the instance list changes.
   */
  #maintainersOf(shard: number): readonly InstanceName[] {
    const { self, network } = this.ctx;
    const live = network.peers().filter(({ state }) => state === 'live');
    const names = [instanceOf(self), ...live.map(({ name }) => name)];
    const instanceList = names.join('\n');
    if (instanceList !== this.#instanceList) this.#maintainers.clear();
    this.#instanceList = instanceList;
    const maintainers =
      this.#maintainers.get(shard) ?? shardMaintainers(shard, names).slice(0, MAX_MAINTAINERS);
    this.#maintainers.set(shard, maintainers);
    return maintainers.includes(instanceOf(self))
      ? maintainers
      : [...maintainers, instanceOf(self)];
  }

  /** Maintains a shard; an error is logged and does not keep the other shards from being maintained. */
  async #tryMaintain(shard: number): Promise<void> {
    try {
      await this.#maintain(shard);
    } catch (err) {
      const detail = `${shardKey(shard)}: ${String(err)}`;
      this.ctx.recorder.record('shardCareFailed', { detail });
    }
  }

  async #maintain(shard: number): Promise<void> {
    const found = await this.ctx.store.read(shardKey(shard));
    if (found.err || found.val.value === null) return;
    const value = parseShard(found.val.value);
    await Promise.all(value.holders.map((entry) => this.#recoverIfStopped(shard, entry)));
    await this.#folderOf(shard).run(value satisfies BudgetShard);
  }

  async #recoverIfStopped(shard: number, entry: HolderEntry): Promise<void> {
    if (entry.state === 'ended' || entry.holder === this.ctx.self) return;
    const isMine = entry.state === 'recovering' && entry.recoverer === this.ctx.self;
    if (!isMine && !(await this.#hasStopped(shard, entry))) return;
    await recoverHolder(this.ctx, shard, entry);
  }

  /**
   * Returns whether the holder (or the recoverer, during a recovery) has been unreachable for
   * longer than the timeout without a change of the entry. For a holder, the replicas must not have
   * heard from it within the timeout either.
   */
  async #hasStopped(shard: number, entry: HolderEntry): Promise<boolean> {
    const { backups, self } = this.ctx;
    const watched = entry.state === 'active' ? entry.holder : (entry.recoverer ?? entry.holder);
    const suspicionKey = `${shard}/${entry.holder}`;
    const isReachable = watched === self || (await backups.isReachable(watched, self));
    if (isReachable) {
      this.#suspicions.delete(suspicionKey);
      return false;
    }
    // The cause is written by recoverers, so a change of it does not show that the holder is alive.
    const snapshot = JSON.stringify({ ...entry, cause: '' });
    const known = this.#suspicions.get(suspicionKey);
    if (known?.snapshot !== snapshot) {
      // Starts the timeout, and restarts it when the entry has changed: a change shows that the
      // holder is alive, although it cannot be reached over a link.
      this.#suspicions.set(suspicionKey, { since: performance.now(), snapshot });
      return false;
    }
    if (performance.now() - known.since < SILENCE_TIMEOUT_MS) return false;
    if (watched !== entry.holder) return true;
    const replicas = [entry.backup, entry.standby].filter((replica) => replica !== null);
    const answers = await Promise.all(
      replicas.map((replica) => this.#isHeardByReplica(replica, entry.holder)),
    );
    return !answers.includes(true);
  }

  async #isHeardByReplica(replica: Incarnation, holder: Incarnation): Promise<boolean> {
    const { backups, self } = this.ctx;
    const silentMs =
      replica === self
        ? backups.silentMs(holder)
        : ((await backups.query(instanceOf(replica), holder))?.silentMs ?? null);
    return silentMs !== null && silentMs < SILENCE_TIMEOUT_MS;
  }

  #folderOf(shard: number): StatementFolder {
    const found = this.#folders.get(shard);
    if (found) return found;
    const folder = new StatementFolder(shard, this.ctx.store, this.ctx.recorder);
    this.#folders.set(shard, folder);
    return folder;
  }
}
