/**
 * Transfers prepaid units to daemons that have not requested them: unused borrowed units, and all
 * available units of a daemon that stops while the store is unavailable.
 */
import { borrowedTarget } from '../allowance/index.js';
import { counterOf, lendUnits } from '../budget/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Timeout of a transfer, and of the check before it, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 200;

/**
 * Share of a workspace's unspent units that all borrowers together may keep unused. It is a third of
 * the share of a budget that may be unusable for any reason, 0.03.
 */
const MAX_LEFTOVER_SHARE = 0.01;

/** Multiple of the units kept for the next requests above which units are returned: a loan may add more than is used at once. */
const KEPT_FACTOR = 2;

/**
 * Returns unused borrowed units to their holders. When this daemon stops while the store is unavailable,
 * transfers all its available units to another daemon.
 */
export class AllowanceReturns {
  /** Workspaces with a return in progress. */
  readonly #returning = new Set<string>();

  /** Workspaces with a transfer that the peer has not confirmed, by incarnation of the peer. */
  readonly #unconfirmed = new Map<Incarnation, Set<string>>();

  /**
   * Creates the task.
   * @param ctx - links to the other daemons
   * @param holdings - balances that transferred units are deducted from
   * @param lastKnownUnspent - unspent units of a workspace that a holder last reported; undefined
   * before that
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
    private readonly lastKnownUnspent: (workspace: string) => number | undefined,
  ) {}

  /**
   * Returns unused borrowed units to a holder, unless they are few or this daemon is a holder itself.
   * For each workspace, only one return runs at a time.
   * @param workspace - workspace that pays
   */
  async returnLeftover(workspace: string): Promise<void> {
    if (this.#returning.has(workspace) || !this.#hasLeftover(workspace)) return;
    this.#returning.add(workspace);
    const peer = await this.#findReachablePeer(this.ctx.holders.others(workspace));
    // A request may have reserved the units in the meantime.
    if (peer && this.#hasLeftover(workspace)) await this.#transfer(peer, workspace);
    this.#returning.delete(workspace);
  }

  /** Repeats unconfirmed transfers and returns units that are still unused. */
  async refresh(): Promise<void> {
    await Promise.all([...this.#unconfirmed].map(([peer, names]) => this.#resend(peer, names)));
    await Promise.all(this.holdings.workspaces.map((name) => this.returnLeftover(name)));
  }

  /**
   * Transfers all available units to the first daemon found that can accept them.
   * @param workspaces - workspaces whose units are transferred
   */
  async handOver(workspaces: readonly string[]): Promise<void> {
    const { network, self, recorder } = this.ctx;
    const names = network.peers().map(({ name }) => name);
    const peer = await this.#findReachablePeer(rendezvous(self, names));
    if (!peer) {
      recorder.record('handoverDelayed', { facts: { peers: names.length } });
      return;
    }
    await Promise.all(workspaces.map((workspace) => this.#transfer(peer, workspace)));
    recorder.record('handoverDone', { peer });
  }

  /**
   * Finds a peer that replies now, as units transferred to a crashed one would be lost. Peers with an
   * unconfirmed transfer are skipped.
   */
  async #findReachablePeer(names: readonly InstanceName[]): Promise<Incarnation | undefined> {
    for (const name of names) {
      // eslint-disable-next-line no-await-in-loop
      const isReached = await this.#ping(name);
      // The transfer is addressed to the incarnation that the link is connected to.
      const peer = this.ctx.network.incarnationOf(name);
      if (isReached && peer && !this.#unconfirmed.has(peer)) return peer;
    }
    return undefined;
  }

  #hasLeftover(workspace: string): boolean {
    const { holdings, ctx } = this;
    if (holdings.isClosed || holdings.missing(workspace) > 0) return false;
    if (ctx.holders.isHolder(workspace)) return false;
    const unspent = this.lastKnownUnspent(workspace) ?? 0;
    const keptUnits = borrowedTarget(holdings.of(workspace), unspent, ctx.clock.now());
    const allowedUnits = (unspent * MAX_LEFTOVER_SHARE) / ctx.holders.fleetSize;
    return holdings.lendableUnits(workspace) > Math.max(allowedUnits, keptUnits * KEPT_FACTOR);
  }

  async #resend(peer: Incarnation, workspaces: ReadonlySet<string>): Promise<void> {
    // A later incarnation cannot confirm a transfer to an earlier one.
    if (this.ctx.network.incarnationOf(instanceOf(peer)) !== peer) {
      this.#unconfirmed.delete(peer);
      return;
    }
    await Promise.all([...workspaces].map((workspace) => this.#sendCounter(peer, workspace)));
  }

  async #transfer(peer: Incarnation, workspace: string): Promise<void> {
    const holding = this.holdings.of(workspace);
    const units = this.holdings.lendableUnits(workspace);
    if (units <= 0) return;
    this.holdings.set(workspace, {
      ...holding,
      escrow: lendUnits(holding.escrow, peer, units),
    });
    const isConfirmed = await this.#sendCounter(peer, workspace);
    const facts = { units, isConfirmed };
    this.ctx.recorder.record('allowanceReturned', { budget: workspace, peer, facts });
  }

  /**
   * Sends a peer the total number of units lent to it. The total is a counter, so that a repeated
   * message changes nothing.
   * @returns whether the peer has confirmed it
   */
  async #sendCounter(peer: Incarnation, workspace: string): Promise<boolean> {
    const pending = this.#unconfirmed.get(peer) ?? new Set();
    this.#unconfirmed.set(peer, pending.add(workspace));
    const passed = counterOf(this.holdings.of(workspace).escrow.passed, peer);
    const loan = { lender: this.ctx.self, borrower: peer, budget: workspace, passed };
    const reply = await this.ctx.network.request({
      to: instanceOf(peer),
      body: { type: 'lent', ...loan, left: 0, isDurable: true },
      reply: 'lent',
      timeoutMs: TRANSFER_TIMEOUT_MS,
    });
    if (reply.err) return false;
    pending.delete(workspace);
    if (pending.size === 0) this.#unconfirmed.delete(peer);
    return true;
  }

  /** Checks whether a peer replies and accepts transfers, by a request for a loan of 0 units. */
  async #ping(peer: InstanceName): Promise<boolean> {
    const outlook = { unspent: 0, totalRate: 0 };
    const emptyRequest = { budget: '', missing: 0, wanted: 0, outlook, known: 0 };
    const reply = await this.ctx.network.request({
      to: peer,
      body: { type: 'borrow', ...emptyRequest },
      reply: 'lent',
      timeoutMs: TRANSFER_TIMEOUT_MS,
    });
    return reply.ok;
  }
}
