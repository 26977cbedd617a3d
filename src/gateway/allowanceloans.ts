/** Loans of prepaid units between daemons. */
import { borrowedShortfall, borrowedTarget, loanUnits, netSpent } from '../allowance/index.js';

import { available, counterOf, lendUnits } from '../budget/index.js';
import { instanceOf, rendezvous, waitAtMost } from '../kernel/index.js';

import type { Incarnation } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Default of the wait for the reply of one peer, in milliseconds: peers usually reply within a few milliseconds. */
const PEER_WAIT_MS = 60;

/**
 * Time for which the reply of a peer is still accepted, in milliseconds: a link that delivers
 * nothing for this long is replaced.
 */
const REPLY_TIMEOUT_MS = 3_000;

/**
 * A holder asks its peers before the store if one of them holds more than this multiple of the
 * missing units.
 */
const SURPLUS_FACTOR = 1.5;

/**
 * Time for which a shortage at all holders is remembered, in milliseconds. Units are freed when running requests end, a
 * few in this time; without the memory each further request would ask every holder in turn.
 */
const SHORTAGE_MEMORY_MS = 250;

/** Number of daemons that are asked to draw units for this one: two in three reach the store in a usual cut. */
const MAX_DRAWERS = 3;

/** A round of borrowing in which all holders together could not lend the missing units. */
interface Shortage {
  readonly at: number;
  /** Units that a request could have obtained from this daemon and all holders. */
  readonly obtainable: number;
}

/** What the holders of a workspace have replied. */
interface HolderAnswers {
  /** Number of holders that replied in time in the last round of borrowing. */
  readonly answered: number;
  /** Unspent units of the workspace as last reported by a holder; undefined before that. */
  readonly unspent: number | undefined;
  /** Units that the holders which replied kept. */
  readonly left: number;
  /** Whether one of those that replied reaches the store. */
  readonly canDraw: boolean;
}

/** Lends to other daemons and borrows from them. */
export class AllowanceLoans {
  readonly #runningRounds = new Map<string, Promise<boolean>>();

  readonly #holderAnswers = new Map<string, HolderAnswers>();

  readonly #shortages = new Map<string, Shortage>();

  /** The daemon that has last drawn units for this one, if there is one. */
  #lastDrawer: readonly string[] = [];

  /**
   * Registers the handlers for loan requests and transfers of other daemons.
   * @param ctx - links to the other daemons, and the holders of each workspace
   * @param holdings - balances that loans are deducted from or added to
   * @param drawForPeer - draws units from the store for a borrower that is no holder
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
    private readonly drawForPeer: (workspace: string) => Promise<void>,
  ) {
    ctx.network.handle('borrow', (message, from) => this.#lend(message, from));
    ctx.network.handle('lent', (message) => this.#acceptTransfer(message));
  }

  get #peerWaitMs(): number {
    return this.ctx.peerWaitMs ?? PEER_WAIT_MS;
  }

  /**
   * Checks whether a peer has clearly more units than a request is missing, according to the rows of
   * the other daemons as last read from the store.
   * @param workspace - workspace that pays
   * @param units - worst-case units of the request
   * @returns whether peers should be asked before the store
   */
  hasPeerWithSurplus(workspace: string, units: number): boolean {
    const { view, escrow } = this.holdings.of(workspace);
    const lacking = units - available(escrow);
    return view?.others.some(({ held }) => held > lacking * SURPLUS_FACTOR) ?? false;
  }

  /**
   * Checks whether a holder that reaches the store replied in time in the last round of borrowing.
   * @param workspace - workspace that pays
   * @returns whether one did; before its reply, it has tried to draw missing units from the store
   */
  hasHolderDrawn(workspace: string): boolean {
    return this.#holderAnswers.get(workspace)?.canDraw ?? false;
  }

  /**
   * Checks whether a holder replied in time in the last round of borrowing.
   * @param workspace - workspace that pays
   * @returns whether one did
   */
  hasHolderAnswered(workspace: string): boolean {
    return (this.#holderAnswers.get(workspace)?.answered ?? 0) > 0;
  }

  /**
   * Returns the unspent units of a workspace that a holder last reported.
   * @param workspace - workspace that pays
   * @returns units; undefined until a holder has reported them
   */
  lastKnownUnspent(workspace: string): number | undefined {
    return this.#holderAnswers.get(workspace)?.unspent;
  }

  /**
   * Checks whether the holders were all found short of the units of a request just before.
   * @param workspace - workspace that pays
   * @param units - worst-case units of the request
   * @returns whether another round of borrowing would most likely fail
   */
  isKnownShort(workspace: string, units: number): boolean {
    const shortage = this.#shortages.get(workspace);
    if (!shortage || this.ctx.clock.now() - shortage.at >= SHORTAGE_MEMORY_MS) return false;
    return units > shortage.obtainable;
  }

  /**
   * Borrows missing units from peers. Concurrent calls for one workspace share one round.
   * @param workspace - workspace that pays
   * @param peers - maximum number of peers to ask
   * @returns whether any units were gained
   */
  borrow(workspace: string, peers: number): Promise<boolean> {
    const running = this.#runningRounds.get(workspace);
    if (running) return running;
    const borrowing = this.#askPeers(workspace, peers).finally(() => {
      this.#runningRounds.delete(workspace);
    });
    this.#runningRounds.set(workspace, borrowing);
    return borrowing;
  }

  /**
   * Borrows units for the next requests of the workspaces of which this daemon is no holder, where those that it keeps run
   * low.
   */
  topUp(): void {
    const now = this.ctx.clock.now();
    this.holdings.workspaces
      .filter((workspace) => !this.ctx.holders.isHolder(workspace))
      .forEach((workspace) => {
        const unspent = this.lastKnownUnspent(workspace) ?? 0;
        const units = borrowedShortfall(this.holdings.of(workspace), unspent, now);
        if (units > 0 && !this.isKnownShort(workspace, units))
          void this.#borrowAhead(workspace, units);
      });
  }

  async #borrowAhead(workspace: string, units: number): Promise<void> {
    // The units count as missing until the holders have replied, or a return would take away what has just come.
    const needed = units + available(this.holdings.of(workspace).escrow);
    this.holdings.adjustMissing(workspace, needed);
    await this.borrow(workspace, 1).finally(() => this.holdings.adjustMissing(workspace, -needed));
  }

  /** Accepts units that a peer transfers although this daemon has not requested them. */
  #acceptTransfer(message: PeerMessageOf<'lent'>): PeerMessageOf<'lent'> {
    const { budget, borrower, lender, passed } = message;
    if (borrower !== this.ctx.self)
      throw new Error(`transfer is for another incarnation: ${borrower}`);
    if (this.holdings.isClosed) throw new Error('transfer to a daemon that is stopping');
    if (budget === undefined) return message;
    const units = this.holdings.noteBorrowed(budget, { peer: lender, units: passed });
    this.holdings.noteReturned(budget, units);
    return message;
  }

  async #askPeers(workspace: string, maxPeers: number): Promise<boolean> {
    const { recorder } = this.ctx;
    const before = available(this.holdings.of(workspace).escrow);
    const isHolder = this.ctx.holders.isHolder(workspace);
    const peers = this.#candidates(workspace).slice(0, maxPeers);
    const unspent = this.lastKnownUnspent(workspace);
    const noAnswers = { answered: 0, unspent, left: 0, canDraw: false };
    this.#holderAnswers.set(workspace, noAnswers);
    const units = this.holdings.missing(workspace);
    let asked = 0;
    for (const peer of peers) {
      // Computed again for each peer: earlier peers may have lent units, and a waiting request may
      // have been cancelled.
      const missing =
        this.holdings.missing(workspace) - available(this.holdings.of(workspace).escrow);
      if (missing <= 0) break;
      asked += 1;
      // Peers are asked one after the other, as a single one may lend all missing units.
      // eslint-disable-next-line no-await-in-loop
      await this.#askPeer(peer, workspace, missing, isHolder ? missing : this.#spare(workspace));
    }
    const isOutOfReach = !isHolder && !this.ctx.isStoreUp() && !this.hasHolderDrawn(workspace);
    if (isOutOfReach) asked += await this.#askDrawers(workspace);
    const after = available(this.holdings.of(workspace).escrow);
    const gained = after - before;
    const { answered, left } = this.#holderAnswers.get(workspace) ?? noAnswers;
    const isAllAsked = answered >= this.ctx.holders.others(workspace).length;
    if (isAllAsked && after < this.holdings.missing(workspace)) {
      const obtainable = after + left;
      this.#shortages.set(workspace, { at: this.ctx.clock.now(), obtainable });
    }
    const facts = { asked, answered, units, gained };
    recorder.record('allowanceBorrowed', { budget: workspace, facts });
    return gained > 0;
  }

  /**
   * Asks other daemons to draw units, as neither this daemon nor a holder that has replied reaches the store.
   * @returns number of daemons that were asked
   */
  async #askDrawers(workspace: string): Promise<number> {
    const { network, self, holders } = this.ctx;
    const known = new Set(holders.others(workspace));
    const names = network.peers().map(({ name }) => name);
    const others = rendezvous(
      self,
      names.filter((name) => !known.has(name)),
    );
    const drawers = [...new Set([...this.#lastDrawer, ...others])].slice(0, MAX_DRAWERS);
    let asked = 0;
    for (const peer of drawers) {
      const missing =
        this.holdings.missing(workspace) - available(this.holdings.of(workspace).escrow);
      if (missing <= 0 || this.hasHolderDrawn(workspace)) break;
      asked += 1;
      // eslint-disable-next-line no-await-in-loop
      await this.#askPeer(peer, workspace, missing, this.#spare(workspace), true);
      // The one that reaches the store is asked first from now on.
      this.#lastDrawer = this.hasHolderDrawn(workspace) ? [peer] : [];
    }
    return asked;
  }

  /** Units beyond the missing ones that this daemon, which is no holder, keeps for its next requests. */
  #spare(workspace: string): number {
    const unspent = this.lastKnownUnspent(workspace) ?? 0;
    return borrowedTarget(this.holdings.of(workspace), unspent, this.ctx.clock.now());
  }

  async #askPeer(
    peer: string,
    workspace: string,
    missing: number,
    wanted: number,
    drawsForMe = false,
  ): Promise<void> {
    const { network } = this.ctx;
    const { escrow, view } = this.holdings.of(workspace);
    const incarnation = network.incarnationOf(peer);
    const known = incarnation ? counterOf(escrow.borrowed, incarnation) : 0;
    const outlook = { unspent: Math.max(0, view?.unspent ?? 0), totalRate: view?.othersRate ?? 0 };
    const asked = {
      budget: workspace,
      missing,
      wanted,
      outlook,
      known,
      ...(drawsForMe && { isStoreDown: true }),
    };
    const askedAt = this.ctx.clock.now();
    let isAwaited = true;
    const taken = network
      .request({
        to: peer,
        body: { type: 'borrow', ...asked },
        reply: 'lent',
        timeoutMs: REPLY_TIMEOUT_MS,
      })
      .then((reply) => {
        const lateMs = isAwaited ? undefined : this.ctx.clock.now() - askedAt;
        if (reply.ok) this.#acceptLoan(workspace, reply.val, lateMs);
      });
    await waitAtMost(taken, this.#peerWaitMs);
    isAwaited = false;
  }

  /**
   * Records a loan. The units of a late reply count too, as the lender has already deducted them;
   * the reply itself does not count as an answer in the round, which no longer waits for it.
   * @param workspace - workspace that pays
   * @param loan - the reply
   * @param lateMs - time since the request if the reply is late, in milliseconds; undefined if it is not
   */
  #acceptLoan(workspace: string, loan: PeerMessageOf<'lent'>, lateMs: number | undefined): void {
    const { lender, passed, unspent, left, isStoreUp = true } = loan;
    const units = this.holdings.noteBorrowed(workspace, { peer: lender, units: passed });
    if (lateMs !== undefined) {
      const facts = { units, tookMs: Math.round(lateMs) };
      this.ctx.recorder.record('allowanceLate', { budget: workspace, peer: lender, facts });
      return;
    }
    const before = this.#holderAnswers.get(workspace);
    this.#holderAnswers.set(workspace, {
      answered: (before?.answered ?? 0) + 1,
      unspent,
      left: (before?.left ?? 0) + left,
      canDraw: (before?.canDraw ?? false) || isStoreUp,
    });
  }

  /**
   * Lists the other holders by the units that they held when the store was last read, most units
   * first. Of holders with equal units, those in the data centre of this daemon come first.
   */
  #candidates(workspace: string): readonly string[] {
    const held = new Map(
      this.holdings
        .of(workspace)
        .view?.others.map((other) => [instanceOf(other.holder), other.held]),
    );
    const names = this.ctx.holders.others(workspace);
    return [...names].sort((a, b) => (held.get(b) ?? 0) - (held.get(a) ?? 0));
  }

  async #lend(message: PeerMessageOf<'borrow'>, from: Incarnation): Promise<PeerMessageOf<'lent'>> {
    const { budget, missing, wanted } = message;
    const { holders, self } = this.ctx;
    // Only the request that precedes a transfer reports no missing units. A stopping daemon must refuse it.
    if (missing === 0 && this.holdings.isClosed)
      throw new Error('this daemon is stopping and accepts no transfer');
    const isForAnother = missing > 0 && !holders.isHolder(budget, from);
    const draws = holders.isHolder(budget) || message.isStoreDown === true;
    if (isForAnother && draws) await this.#drawBeforeLoan(budget, missing);
    const holding = this.holdings.of(budget);
    const units = this.holdings.isClosed
      ? 0
      : loanUnits(this.holdings.lendableUnits(budget), missing, wanted);
    const escrow = units > 0 ? lendUnits(holding.escrow, from, units) : holding.escrow;
    this.holdings.set(budget, { ...holding, escrow });
    if (isForAnother && units > 0) this.holdings.noteLent(budget, units);
    const left = available(escrow);
    const facts = { units, missing, left };
    if (missing > 0 || units > 0) {
      this.ctx.recorder.record('allowanceLent', { budget, peer: from, facts });
    }
    const passed = counterOf(escrow.passed, from);
    const { view } = holding;
    const unspent = view && Math.max(0, view.unspent - netSpent(escrow));
    return {
      type: 'lent',
      lender: self,
      passed,
      left,
      isDurable: true,
      ...(unspent !== undefined && { unspent }),
      ...(!this.ctx.isStoreUp() && { isStoreUp: false }),
    };
  }

  /** Draws units from the store before a loan, if fewer are available than the borrower is missing. */
  async #drawBeforeLoan(workspace: string, missing: number): Promise<void> {
    if (this.holdings.lendableUnits(workspace) >= missing) return;
    this.holdings.adjustMissing(workspace, missing);
    await this.drawForPeer(workspace);
    this.holdings.adjustMissing(workspace, -missing);
  }
}
