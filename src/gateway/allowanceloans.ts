/** Loans of prepaid units between daemons. */
import { setTimeout as sleep } from 'node:timers/promises';
import { loanUnits, netSpent } from '../allowance/index.js';

import { available, counterOf, lendUnits } from '../budget/index.js';
import { instanceOf } from '../kernel/index.js';

import type { Incarnation } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Longest wait for one peer, in milliseconds: peers usually answer within a few. */
const PEER_WAIT_MS = 60;

/**
 * Time for which a late reply is still accepted, in milliseconds: after it a silent link is
 * replaced.
 */
const REPLY_TIMEOUT_MS = 3_000;

/** Multiple of the missing units that one peer must hold for peers to be asked before the store. */
const SURPLUS_FACTOR = 1.5;

/** Last replies of the holders of a workspace. */
interface HolderAnswers {
  /** Number of holders that answered in the last round. */
  readonly answered: number;
  /** Unspent units of the workspace at all daemons; undefined until a holder has reported them. */
  readonly unspent: number | undefined;
}

/** Lends to other daemons and borrows from them. */
export class AllowanceLoans {
  readonly #runningRounds = new Map<string, Promise<boolean>>();

  readonly #holderAnswers = new Map<string, HolderAnswers>();

  /**
   * Registers the message handlers of lender and borrower.
   * @param ctx - links to the other daemons
   * @param holdings - balances that loans are taken from and added to
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

  /**
   * Checks whether some peer held much more than a request lacks, by the stored state that was read last.
   * @param workspace - workspace that pays
   * @param units - worst case of the request
   * @returns whether peers should be asked before the store
   */
  hasPeerWithSurplus(workspace: string, units: number): boolean {
    const { view, escrow } = this.holdings.of(workspace);
    const lacking = units - available(escrow);
    return view?.others.some(({ held }) => held > lacking * SURPLUS_FACTOR) ?? false;
  }

  /**
   * Checks whether a holder answered in the last round of borrowing.
   * @param workspace - workspace that pays
   * @returns whether the store has no more to give either, as the holder has drawn from it
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
   * Borrows missing units from peers. Concurrent calls for one workspace share one round.
   * @param workspace - workspace that pays
   * @param peers - most peers that are asked
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

  /** Accepts units that a peer transfers without a request. */
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
    this.#holderAnswers.set(workspace, { answered: 0, unspent: this.lastKnownUnspent(workspace) });
    const units = this.holdings.missing(workspace);
    let asked = 0;
    for (const peer of peers) {
      // Computed anew for each peer: a waiting request may have been cancelled in the meantime.
      const missing =
        this.holdings.missing(workspace) - available(this.holdings.of(workspace).escrow);
      if (missing <= 0) break;
      asked += 1;
      // One peer after the other: each may cover all missing units.
      // eslint-disable-next-line no-await-in-loop
      await this.#askPeer(peer, workspace, missing, isHolder ? missing : 0);
    }
    const gained = available(this.holdings.of(workspace).escrow) - before;
    const answered = this.#holderAnswers.get(workspace)?.answered ?? 0;
    const facts = { asked, answered, units, gained };
    recorder.record('allowanceBorrowed', { budget: workspace, facts });
    return gained > 0;
  }

  async #askPeer(peer: string, workspace: string, missing: number, wanted: number): Promise<void> {
    const { network } = this.ctx;
    const { escrow, view } = this.holdings.of(workspace);
    const incarnation = network.incarnationOf(peer);
    const known = incarnation ? counterOf(escrow.borrowed, incarnation) : 0;
    const outlook = { unspent: Math.max(0, view?.unspent ?? 0), totalRate: view?.othersRate ?? 0 };
    const asked = { budget: workspace, missing, wanted, outlook, known };
    const askedAt = this.ctx.clock.now();
    const taken = network
      .request({
        to: peer,
        body: { type: 'borrow', ...asked },
        reply: 'lent',
        timeoutMs: REPLY_TIMEOUT_MS,
      })
      .then((reply) => {
        if (reply.ok) this.#acceptLoan(workspace, reply.val, this.ctx.clock.now() - askedAt);
      });
    const waitAbort = new AbortController();
    const limit = sleep(PEER_WAIT_MS, undefined, { signal: waitAbort.signal }).catch(
      () => undefined,
    );
    await Promise.race([taken, limit]);
    waitAbort.abort();
  }

  /**
   * Records a loan. A late one counts too, as the lender has already deducted it, but not as an
   * answer in the round.
   */
  #acceptLoan(workspace: string, loan: PeerMessageOf<'lent'>, tookMs: number): void {
    const { lender, passed, unspent } = loan;
    const units = this.holdings.noteBorrowed(workspace, { peer: lender, units: passed });
    if (tookMs > PEER_WAIT_MS) {
      const facts = { units, tookMs: Math.round(tookMs) };
      this.ctx.recorder.record('allowanceLate', { budget: workspace, peer: lender, facts });
      return;
    }
    const answered = (this.#holderAnswers.get(workspace)?.answered ?? 0) + 1;
    this.#holderAnswers.set(workspace, { answered, unspent });
  }

  /**
   * Other holders, by the units that they held in the stored state read last; those of the own data
   * centre first where these are equal.
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
    // A request for 0 units checks whether this daemon can accept a transfer.
    if (missing === 0 && this.holdings.isClosed)
      throw new Error('this daemon is stopping and accepts no transfer');
    const isForAnother = missing > 0 && !holders.isHolder(budget, from);
    if (isForAnother && holders.isHolder(budget)) await this.#drawBeforeLoan(budget, missing);
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
    };
  }

  /** Draws from the store if the available units do not cover a loan. */
  async #drawBeforeLoan(workspace: string, missing: number): Promise<void> {
    if (this.holdings.lendableUnits(workspace) >= missing) return;
    this.holdings.adjustMissing(workspace, missing);
    await this.drawForPeer(workspace);
    this.holdings.adjustMissing(workspace, -missing);
  }
}
