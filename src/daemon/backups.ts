/**
 * Client for the replicas of this daemon, and storage for the copies of charge lines that other
 * daemons send to this one.
 */
import {
  backupCandidates,
  fence,
  acceptBatch,
  NO_COPIES,
  shardMaintainers,
  standbyCandidates,
  WINDOW_UNITS,
} from '../fleet/index.js';
import { instanceOf } from '../kernel/index.js';

import type { Copies, CopyBatch, CopyVerdict, FencedCopies } from '../fleet/index.js';
import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';

/** Longest wait for a replica to acknowledge copies, in milliseconds. */
const COPY_TIMEOUT_MS = 400;

/** Longest wait for an answer to a holder query or a fence request, in milliseconds. */
const QUERY_TIMEOUT_MS = 600;

/** Maximum number of lines of other daemons kept in memory; they take about 30 MB. */
const MAX_COPIED_LINES = 100_000;

/**
 * Maximum number of candidates queried to choose a replica; if none of them is suitable, none is
 * chosen.
 */
const MAX_CANDIDATES = 4;

/**
 * Number of maintainers of a shard, the first ones in their order, whose reachability a holder
 * checks.
 */
const CHECKED_MAINTAINERS = 3;

/**
 * Answer to a holder query: incarnation of the daemon that answers, and milliseconds since it last
 * heard from the holder; null if it never did.
 */
export interface HolderQueryAnswer {
  readonly self: Incarnation;
  readonly silentMs: number | null;
}

/** Sends copies to replicas, and keeps the copies of other holders. */
export class Backups {
  readonly #copies = new Map<string, Copies>();

  readonly #lastHeardAt = new Map<Incarnation, number>();

  #lineCount = 0;

  /**
   * Creates the service and registers handlers for requests of holders and recoverers.
   * @param self - own incarnation
   * @param dataCentre - own data centre
   * @param network - links to the other daemons
   */
  constructor(
    private readonly self: Incarnation,
    private readonly dataCentre: string,
    private readonly network: PeerNetwork,
  ) {
    network.handle('copy-lines', (batch) => this.#acceptBatch(batch));
    network.handle('fence-holder', ({ holder, backup, shard, over }) =>
      backup === this.self ? this.fenceLocally(holder, shard, over) : Backups.#notBackup(),
    );
    network.handle('holder-query', ({ holder }, from) => {
      if (from === holder) this.#lastHeardAt.set(holder, performance.now());
      return { type: 'holder-seen', self: this.self, silentMs: this.silentMs(holder) };
    });
  }

  /**
   * Chooses a backup for this daemon; prefers other data centres.
   * @param excluded - incarnations that must not be chosen
   * @returns the first candidate that answered; null if none did
   */
  chooseBackup(excluded: readonly Incarnation[] = []): Promise<Incarnation | null> {
    const { self, dataCentre, network } = this;
    return this.#firstReachable(backupCandidates(self, dataCentre, network.peers()), excluded);
  }

  /**
   * Chooses a standby, which receives copies while the backup does not answer. Prefers the same
   * data centre, because it stays reachable when links between data centres fail.
   * @param excluded - incarnations that must not be chosen, such as the backup
   * @returns the first candidate that answered; null if none did
   */
  chooseStandby(excluded: readonly Incarnation[]): Promise<Incarnation | null> {
    const { self, dataCentre, network } = this;
    return this.#firstReachable(standbyCandidates(self, dataCentre, network.peers()), excluded);
  }

  /**
   * Chooses a replica in the same data centre.
   * @param excluded - incarnations that must not be chosen
   * @returns the first candidate that answered; null if none did
   */
  chooseInSameDataCentre(excluded: readonly Incarnation[]): Promise<Incarnation | null> {
    const candidates = this.network.peers().filter((peer) => peer.dataCentre === this.dataCentre);
    return this.#firstReachable(
      standbyCandidates(this.self, this.dataCentre, candidates),
      excluded,
    );
  }

  /**
   * Checks whether the instance of an incarnation is in the data centre of this daemon.
   * @param peer - the incarnation
   * @returns whether it is; false if the instance is not listed
   */
  isInSameDataCentre(peer: Incarnation): boolean {
    const found = this.network.peers().find(({ name }) => name === instanceOf(peer));
    return found?.dataCentre === this.dataCentre;
  }

  async #firstReachable(
    names: readonly InstanceName[],
    excluded: readonly Incarnation[],
  ): Promise<Incarnation | null> {
    for (const name of names.slice(0, MAX_CANDIDATES)) {
      // Candidates are in order of preference, so they are queried one by one.
      // eslint-disable-next-line no-await-in-loop
      const answer = await this.query(name, this.self);
      if (answer && !excluded.includes(answer.self)) return answer.self;
    }
    return null;
  }

  /**
   * Sends charge lines to a replica.
   * @param batch - lines, exposures and the receiving incarnation
   * @returns the verdict of the replica; undefined without an answer
   */
  async sendCopies(batch: CopyBatch): Promise<CopyVerdict | undefined> {
    const answer = await this.network.request({
      to: instanceOf(batch.backup),
      body: batch,
      reply: 'lines-copied',
      timeoutMs: COPY_TIMEOUT_MS,
    });
    return answer.ok ? answer.val : undefined;
  }

  /**
   * Queries an instance for its incarnation and the time since it last heard from a holder.
   * @param instance - instance name
   * @param holder - the holder
   * @returns the answer of the instance; undefined without one
   */
  async query(instance: string, holder: Incarnation): Promise<HolderQueryAnswer | undefined> {
    const answer = await this.network.request({
      to: instance,
      body: { type: 'holder-query', holder },
      reply: 'holder-seen',
      timeoutMs: QUERY_TIMEOUT_MS,
    });
    return answer.ok ? answer.val : undefined;
  }

  /**
   * Checks whether an incarnation answers. The query also counts as a heartbeat of the sender.
   * @param peer - the incarnation
   * @param holder - own incarnation
   * @returns whether it answers; false if another incarnation of the instance does
   */
  async isReachable(peer: Incarnation, holder: Incarnation): Promise<boolean> {
    return (await this.query(instanceOf(peer), holder))?.self === peer;
  }

  /**
   * Checks whether the first maintainers of a shard answer.
   * @param shard - shard number
   * @param holder - own incarnation
   * @returns false if one of them did not answer, and may therefore take this daemon for stopped
   */
  async reachesMaintainers(shard: number, holder: Incarnation): Promise<boolean> {
    const live = this.network.peers().filter(({ state }) => state === 'live');
    const names = [instanceOf(this.self), ...live.map(({ name }) => name)];
    const maintainers = shardMaintainers(shard, names).slice(0, CHECKED_MAINTAINERS);
    const others = maintainers.filter((name) => name !== instanceOf(this.self));
    const answers = await Promise.all(others.map((name) => this.query(name, holder)));
    return answers.every((answer) => answer !== undefined);
  }

  /**
   * Fences a holder at one of its replicas, which may be this daemon.
   * @param backup - recorded replica
   * @param holder - the holder
   * @param shard - shard of the copies
   * @param dropCopies - whether to drop the copies and keep only the fence and `through`
   * @returns the copies stored at the replica before any drop, or isBackup false if another
   *   incarnation of its instance answered; undefined without an answer
   */
  async fenceAt(
    backup: Incarnation,
    holder: Incarnation,
    shard: number,
    dropCopies: boolean,
  ): Promise<FencedCopies | undefined> {
    if (backup === this.self) return this.fenceLocally(holder, shard, dropCopies);
    const answer = await this.network.request({
      to: instanceOf(backup),
      body: { type: 'fence-holder', holder, backup, shard, over: dropCopies },
      reply: 'holder-fenced',
      timeoutMs: QUERY_TIMEOUT_MS,
    });
    return answer.ok ? answer.val : undefined;
  }

  /**
   * Fences a holder at this daemon, which stores the copies of the holder's lines.
   * @param holder - the holder
   * @param shard - shard of the copies
   * @param dropCopies - whether to drop the copies and keep only the fence and `through`
   * @returns the copies as they were before any drop
   */
  fenceLocally(holder: Incarnation, shard: number, dropCopies: boolean): FencedCopies {
    const copyKey = `${holder}/${shard}`;
    const copies = fence(this.#copies.get(copyKey) ?? NO_COPIES);
    // The fence is kept for good: a paused holder may resume at any time.
    this.#setCopies(
      copyKey,
      dropCopies ? { ...NO_COPIES, fenced: true, through: copies.through } : copies,
    );
    const window = Math.max(copies.window, WINDOW_UNITS);
    const { lines, exposures } = copies;
    return { type: 'holder-fenced', isBackup: true, lines, exposures, window };
  }

  /**
   * Gives the time since a holder last sent copies or a holder query to this daemon.
   * @param holder - the holder
   * @returns milliseconds; null if none was received
   */
  silentMs(holder: Incarnation): number | null {
    const at = this.#lastHeardAt.get(holder);
    return at === undefined ? null : performance.now() - at;
  }

  static #notBackup(): FencedCopies {
    return { type: 'holder-fenced', isBackup: false, lines: [], exposures: [], window: 0 };
  }

  #acceptBatch(batch: CopyBatch): CopyVerdict {
    if (batch.backup !== this.self) {
      return { type: 'lines-copied', verdict: 'elsewhere', through: 0 };
    }
    this.#lastHeardAt.set(batch.holder, performance.now());
    const copyKey = `${batch.holder}/${batch.shard}`;
    const known = this.#copies.get(copyKey) ?? NO_COPIES;
    const kept = acceptBatch(known, batch, MAX_COPIED_LINES - this.#lineCount);
    this.#setCopies(copyKey, kept.copies);
    return kept.verdict;
  }

  #setCopies(copyKey: string, copies: Copies): void {
    this.#lineCount += copies.lines.length - (this.#copies.get(copyKey)?.lines.length ?? 0);
    this.#copies.set(copyKey, copies);
  }
}
