/**
 * Transfers prepaid units to daemons that did not ask for them: unused loans, and all remaining
 * units at a stop.
 */
import { counterOf, lendUnits } from '../budget/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Longest wait for the reply of a peer to a transfer, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 200;

/**
 * Share of the unspent units that all borrowers together may keep unused: a third of what may be
 * unusable in all.
 */
const MAX_LEFTOVER_SHARE = 0.01;

/** Returns unused units to holders and hands over the remaining ones at a stop. */
export class AllowanceReturns {
  /** Workspaces with a return in progress. */
  readonly #returning = new Set<string>();

  /** Workspaces whose last loan counter a peer has not confirmed, by its incarnation. */
  readonly #unconfirmed = new Map<Incarnation, Set<string>>();

  /**
   * Creates the task.
   * @param ctx - links to the other daemons
   * @param holdings - balances that units are taken from
   * @param lastKnownUnspent - unspent units that a holder last reported; undefined until one has
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
    private readonly lastKnownUnspent: (workspace: string) => number | undefined,
  ) {}

  /**
   * Returns unused borrowed units to a holder, if this daemon is none; one return at a time for each workspace.
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
   * Transfers all available units to the first daemon that can accept them.
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

  /** Finds a peer that answers now: units transferred to a dead one would be lost. */
  async #findReachablePeer(names: readonly InstanceName[]): Promise<Incarnation | undefined> {
    for (const name of names) {
      // eslint-disable-next-line no-await-in-loop
      const isReached = await this.#ping(name);
      // The incarnation is known from the link; the loan is addressed to it.
      const peer = this.ctx.network.incarnationOf(name);
      if (isReached && peer && !this.#unconfirmed.has(peer)) return peer;
    }
    return undefined;
  }

  #hasLeftover(workspace: string): boolean {
    const { holdings, ctx } = this;
    if (holdings.isClosed || holdings.missing(workspace) > 0) return false;
    if (ctx.holders.isHolder(workspace)) return false;
    const allowedUnits =
      ((this.lastKnownUnspent(workspace) ?? 0) * MAX_LEFTOVER_SHARE) / ctx.holders.fleetSize;
    return holdings.lendableUnits(workspace) > allowedUnits;
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
   * Sends the total lent to a peer. It is a counter, so that repeating the message changes nothing.
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

  /** Checks whether a peer answers, by a request for 0 units. */
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
