/** Chooses the backup of this daemon and keeps the copies of other daemons. */
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { ChargeLine } from '../budget/index.js';
import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { Instance } from '../platform/index.js';

/** Longest wait for a backup's acknowledgement, in milliseconds. */
const COPY_TIMEOUT_MS = 400;

/** Lines that a holder hands to its backup. */
export interface CopyBatch {
  readonly holder: Incarnation;
  readonly shard: number;
  readonly lines: readonly ChargeLine[];
  readonly settled: number;
}

/**
 * Orders the candidates for a backup: other data centres come first.
 * @param self - incarnation that needs a backup
 * @param dataCentre - its data centre
 * @param peers - the other instances
 * @returns the candidates, the best first
 */
export function backupCandidates(
  self: Incarnation,
  dataCentre: string,
  peers: readonly Instance[],
): readonly InstanceName[] {
  const live = peers.filter(({ state }) => state === 'live');
  const away = live.filter((peer) => peer.dataCentre !== dataCentre).map(({ name }) => name);
  const near = live.filter((peer) => peer.dataCentre === dataCentre).map(({ name }) => name);
  const own = instanceOf(self);
  return [...rendezvous(own, away), ...rendezvous(own, near)];
}

/** Owns the copies that this daemon keeps for others. */
export class Backups {
  readonly #copies = new Map<string, readonly ChargeLine[]>();

  /**
   * Creates the keeper and answers copy requests.
   * @param self - own incarnation
   * @param dataCentre - own data centre
   * @param network - links to the other daemons
   */
  constructor(
    private readonly self: Incarnation,
    private readonly dataCentre: string,
    private readonly network: PeerNetwork,
  ) {
    network.handle('copy-lines', (batch) => {
      this.#keep(batch);
      return { type: 'lines-copied', accepted: true };
    });
  }

  /** Instance that should keep the copies of this daemon; undefined without peers. */
  get choice(): InstanceName | undefined {
    return backupCandidates(this.self, this.dataCentre, this.network.peers())[0];
  }

  /**
   * Copies lines to the backup.
   * @param shard - shard of the lines
   * @param lines - the lines
   * @param settled - highest sequence that the store holds
   * @returns whether the backup holds them
   */
  async copy(shard: number, lines: readonly ChargeLine[], settled: number): Promise<boolean> {
    const order = backupCandidates(this.self, this.dataCentre, this.network.peers());
    const batch = { holder: this.self, shard, lines, settled };
    for (let index = 0; index < order.length; index += 1) {
      // The next peer is asked only if the one before cannot keep the lines.
      // eslint-disable-next-line no-await-in-loop
      if (await this.#copyTo(order[index] ?? '', batch)) return true;
    }
    return false;
  }

  async #copyTo(to: InstanceName, batch: CopyBatch): Promise<boolean> {
    const answer = await this.network.request({
      to,
      body: { type: 'copy-lines', ...batch },
      reply: 'lines-copied',
      timeoutMs: COPY_TIMEOUT_MS,
    });
    return answer.ok && answer.val.accepted;
  }

  #keep({ holder, shard, lines, settled }: CopyBatch): void {
    const slot = `${holder}/${shard}`;
    const kept = this.#copies.get(slot) ?? [];
    this.#copies.set(slot, [...kept.filter(({ sequence }) => sequence > settled), ...lines]);
  }
}
