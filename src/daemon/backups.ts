/** Speaks to the backup of this daemon and keeps the copies of other daemons. */
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

/** Longest wait for a backup's acknowledgement, in milliseconds. */
const COPY_TIMEOUT_MS = 400;

/** Longest wait for an answer to a query or a fence, in milliseconds. */
const QUERY_TIMEOUT_MS = 600;

/** Lines of other daemons that this daemon keeps; about 30 MB. */
const MAX_COPIED_LINES = 100_000;

/** Candidates that are asked before a daemon goes on without a backup. */
const MAX_CANDIDATES = 4;

/** Daemons in the order of a shard's care that a holder keeps in touch with. */
const CHECKED_MAINTAINERS = 3;

/** What an instance answers about itself and a holder. */
export interface HolderQueryAnswer {
  readonly self: Incarnation;
  readonly silentMs: number | null;
}

/** Owns the copies that this daemon keeps for others. */
export class Backups {
  readonly #copies = new Map<string, Copies>();

  readonly #lastHeardAt = new Map<Incarnation, number>();

  #lineCount = 0;

  /**
   * Creates the keeper and answers the requests of holders and recoverers.
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
   * Looks for a daemon that can back up this one: first in other data centres.
   * @param excluded - incarnations that did not answer
   * @returns an incarnation that answers now; null if there is none
   */
  chooseBackup(excluded: readonly Incarnation[] = []): Promise<Incarnation | null> {
    const { self, dataCentre, network } = this;
    return this.#firstReachable(backupCandidates(self, dataCentre, network.peers()), excluded);
  }

  /**
   * Looks for a daemon that takes copies while the backup does not answer: first in the same
   * data centre, which a cut between data centres leaves together.
   * @param excluded - the backup, and incarnations that did not answer
   * @returns an incarnation that answers now; null if there is none
   */
  chooseStandby(excluded: readonly Incarnation[]): Promise<Incarnation | null> {
    const { self, dataCentre, network } = this;
    return this.#firstReachable(standbyCandidates(self, dataCentre, network.peers()), excluded);
  }

  /**
   * Looks for a daemon in the same data centre that takes copies.
   * @param excluded - incarnations that will not do
   * @returns an incarnation that answers now; null if there is none
   */
  chooseInSameDataCentre(excluded: readonly Incarnation[]): Promise<Incarnation | null> {
    const candidates = this.network.peers().filter((peer) => peer.dataCentre === this.dataCentre);
    return this.#firstReachable(
      standbyCandidates(this.self, this.dataCentre, candidates),
      excluded,
    );
  }

  /**
   * Says whether an incarnation runs in the same data centre.
   * @param peer - the incarnation
   * @returns false also for one that is not listed
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
      // The better candidate is asked first.
      // eslint-disable-next-line no-await-in-loop
      const answer = await this.query(name, this.self);
      if (answer && !excluded.includes(answer.self)) return answer.self;
    }
    return null;
  }

  /**
   * Hands lines to a backup.
   * @param batch - lines, exposures and the incarnation that is meant
   * @returns its answer; undefined if there is none
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
   * Asks an instance who it is and whether it has heard from a holder.
   * @param instance - instance name
   * @param holder - the holder
   * @returns its answer; undefined if there is none
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
   * Says whether an incarnation answers, and tells it that this one lives.
   * @param peer - the incarnation
   * @param holder - own incarnation
   * @returns false also if a later incarnation answers
   */
  async isReachable(peer: Incarnation, holder: Incarnation): Promise<boolean> {
    return (await this.query(instanceOf(peer), holder))?.self === peer;
  }

  /**
   * Says whether the daemons that would first look after a shard answer.
   * @param shard - shard number
   * @param holder - own incarnation
   * @returns false if one of them may believe that this daemon has stopped
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
   * Fences a holder at its backup, which may be this daemon.
   * @param backup - backup on record
   * @param holder - the holder
   * @param shard - shard of the copies
   * @param dropCopies - whether the copies may be dropped
   * @returns what the backup holds; undefined without an answer
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
   * Fences a holder whose copies this daemon keeps.
   * @param holder - the holder
   * @param shard - shard of the copies
   * @param dropCopies - whether the copies may be dropped
   * @returns what is kept
   */
  fenceLocally(holder: Incarnation, shard: number, dropCopies: boolean): FencedCopies {
    const copyKey = `${holder}/${shard}`;
    const copies = fence(this.#copies.get(copyKey) ?? NO_COPIES);
    // The mark of the fence stays for good: a holder that was paused may still come back.
    this.#setCopies(
      copyKey,
      dropCopies ? { ...NO_COPIES, fenced: true, through: copies.through } : copies,
    );
    const window = Math.max(copies.window, WINDOW_UNITS);
    const { lines, exposures } = copies;
    return { type: 'holder-fenced', isBackup: true, lines, exposures, window };
  }

  /**
   * Says for how long a holder has sent nothing.
   * @param holder - the holder
   * @returns milliseconds; null if it never sent anything
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
