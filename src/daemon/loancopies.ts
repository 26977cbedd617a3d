/** Copies the loans of this daemon to its backup and keeps those of other daemons. */
import type { Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { Backups } from './backups.js';

/** Owns the copies of loans. */
export class LoanCopies {
  readonly #passed = new Map<string, number>();

  /**
   * Creates the keeper and answers copy requests.
   * @param self - own incarnation
   * @param network - links to the other daemons
   * @param backups - knows the backup of this daemon
   */
  constructor(
    private readonly self: Incarnation,
    private readonly network: PeerNetwork,
    private readonly backups: Backups,
  ) {
    network.handle('copy-counters', ({ holder, budget, passed }) => {
      const slot = `${holder}/${budget}`;
      this.#passed.set(slot, Math.max(this.#passed.get(slot) ?? 0, passed));
      return { type: 'counters-copied', accepted: true };
    });
  }

  /**
   * Copies the loans of a budget to the backup.
   * @param budget - budget name
   * @param passed - units lent in all
   * @param waitMs - longest wait in milliseconds
   * @returns whether the backup knows of them
   */
  async copy(budget: string, passed: number, waitMs: number): Promise<boolean> {
    const to = this.backups.choice;
    if (!to) return false;
    const answer = await this.network.request({
      to,
      body: { type: 'copy-counters', holder: this.self, budget, passed },
      reply: 'counters-copied',
      timeoutMs: waitMs,
    });
    return answer.ok && answer.val.accepted;
  }
}
