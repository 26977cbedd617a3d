/** Loans of prepaid units between daemons. */
import { setTimeout as sleep } from 'node:timers/promises';
import { loanUnits, netSpent } from '../allowance/index.js';

import { available, counterOf, lendUnits } from '../budget/index.js';
import { instanceOf } from '../kernel/index.js';

import type { Incarnation } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Longest wait for one peer, in milliseconds: peers answer within a few. */
const PEER_WAIT_MS = 60;

/** Time for which an answer is still taken, in milliseconds: until a silent link is replaced. */
const REPLY_TIMEOUT_MS = 3_000;

/** Multiple of a shortage that the richest peer must hold to be asked before the store. */
const SURPLUS_FACTOR = 1.5;

/** What the holders of a workspace said last. */
interface HolderAnswers {
  /** How many of them answered in the last round. */
  readonly answered: number;
  /** Units that nobody has spent; undefined while none has said so. */
  readonly unspent: number | undefined;
}

/** Lends to other daemons and borrows from them. */
export class AllowanceLoans {
  readonly #runningRounds = new Map<string, Promise<boolean>>();

  readonly #holderAnswers = new Map<string, HolderAnswers>();

  /**
   * Creates both sides.
   * @param ctx - links to the other daemons
   * @param holdings - what is lent, and where loans are kept
   * @param drawForPeer - draws for a daemon that keeps none ready itself
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
   * Says whether some peer held much more than a request lacks when the store last showed it.
   * @param workspace - who pays
   * @param units - worst case of the request
   * @returns whether it is worth asking peers first
   */
  hasPeerWithSurplus(workspace: string, units: number): boolean {
    const { view, escrow } = this.holdings.of(workspace);
    const lacking = units - available(escrow);
    return view?.others.some(({ held }) => held > lacking * SURPLUS_FACTOR) ?? false;
  }

  /**
   * Says whether a holder answered the last round of a shortage.
   * @param workspace - who pays
   * @returns whether another way would find no more
   */
  hasHolderAnswered(workspace: string): boolean {
    return (this.#holderAnswers.get(workspace)?.answered ?? 0) > 0;
  }

  /**
   * Gives what holders last said to be unspent.
   * @param workspace - who pays
   * @returns units; undefined while none has said so
   */
  lastKnownUnspent(workspace: string): number | undefined {
    return this.#holderAnswers.get(workspace)?.unspent;
  }

  /**
   * Borrows for a shortage; one round at a time for each workspace.
   * @param workspace - who pays
   * @param peers - most peers that are asked
   * @returns whether anything was lent
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

  /** Takes units that a peer gives without being asked. */
  #acceptTransfer(message: PeerMessageOf<'lent'>): PeerMessageOf<'lent'> {
    const { budget, borrower, lender, passed } = message;
    if (borrower !== this.ctx.self) throw new Error(`units for another life: ${borrower}`);
    if (this.holdings.isClosed) throw new Error('units for a daemon that is ending');
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
      // Asked again for each peer: whoever lacked units may have left in the meantime.
      const missing =
        this.holdings.missing(workspace) - available(this.holdings.of(workspace).escrow);
      if (missing <= 0) break;
      asked += 1;
      // One peer after the other: each may cover the whole shortage.
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

  /** Takes a loan, also a late one: the lender has counted it. */
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

  /** Holders by what the store last showed them to hold; near ones first where it showed nothing. */
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
    // A peer that asks for nothing looks for a daemon that may be given units.
    if (missing === 0 && this.holdings.isClosed) throw new Error('asked a daemon that is ending');
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

  /** Draws before a loan that would not cover what the borrower lacks. */
  async #drawBeforeLoan(workspace: string, missing: number): Promise<void> {
    if (this.holdings.lendableUnits(workspace) >= missing) return;
    this.holdings.adjustMissing(workspace, missing);
    await this.drawForPeer(workspace);
    this.holdings.adjustMissing(workspace, -missing);
  }
}
