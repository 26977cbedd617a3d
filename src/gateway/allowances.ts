/** Owns the prepaid units of this daemon: draws them from the store, lends and borrows. */
import { setTimeout as sleep } from 'node:timers/promises';

import {
  allowanceShardOf,
  closeEarlierLives,
  closeRow,
  drawLine,
  hasRow,
  loanUnits,
  netSpent,
  openHolding,
  parseAllowances,
  receiveDrawn,
  reserveUnits,
  rowGrant,
  settleUnits,
  shedIdle,
  viewAllowance,
  wantsDraw,
  withLines,
} from '../allowance/index.js';
import { available, counterOf, passUnits, receiveLoan } from '../budget/index.js';
import { Err, failure, instanceOf, Ok, rendezvous } from '../kernel/index.js';

import type {
  AllowanceDraw,
  AllowanceHolding,
  AllowancePolicy,
  AllowanceShard,
  AllowanceView,
} from '../allowance/index.js';
import type { Clock, Failure, Incarnation, Result } from '../kernel/index.js';
import type { PeerMessageOf, PeerNetwork } from '../link/index.js';
import type { StoredObject, StoreError, SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';

/** Interval at which holdings are looked at, in milliseconds: a fraction of what they last. */
const REFRESH_MS = 1_000;

/** Conditional writes before a draw gives up under conflicts. */
const MAX_WRITES = 6;

/** Time that a waiting request gives the store alone, in milliseconds: some of its answers. */
const STORE_FIRST_MS = 30;

/** Longest wait for one peer, in milliseconds: peers answer within a few. */
const PEER_MS = 60;

/** Longest wait for a peer that takes over the units of a stopping daemon, in milliseconds. */
const HANDOVER_MS = 200;

/** Peers that are asked for one shortage. */
const MAX_PEERS = 6;

/** Peers that are asked before the store. */
const FIRST_PEERS = 2;

/** Multiple of a shortage that the richest peer must hold to be asked before the store. */
const RICH = 1.5;

/** Delay after which a refused caller may come back, in milliseconds: running requests settle. */
const RETRY_MS = 1_000;

/** The same while the store is away, in milliseconds: outages last for seconds. */
const RETRY_AWAY_MS = 3_000;

/** What the task needs. */
export interface AllowanceContext {
  readonly self: Incarnation;
  readonly store: SnapshotStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
  readonly clock: Clock;
  readonly policy: () => AllowancePolicy;
  /** Number of shard objects; the same at every daemon. */
  readonly shards: number;
  /** Units that a workspace has paid for; undefined for one without a limit. */
  readonly paidOf: (workspace: string) => number | undefined;
  readonly workspaces: () => readonly string[];
  /** Whether the store answered lately. */
  readonly isStoreUp: () => boolean;
}

/** One write of a shard that is worked out. */
interface PlannedWrite {
  readonly shard: AllowanceShard;
  readonly draws: readonly { readonly draw: AllowanceDraw; readonly view: AllowanceView }[];
}

function shardKey(shard: number): string {
  return `allowances/shard-${shard}`;
}

/** Keeps the holdings of this daemon. */
export class Allowances {
  readonly #holdings = new Map<string, AllowanceHolding>();

  readonly #objects = new Map<number, StoredObject>();

  readonly #entered = new Set<number>();

  readonly #drawing = new Map<number, Promise<boolean>>();

  readonly #borrowing = new Map<string, Promise<boolean>>();

  /** Units that waiting requests lack, by workspace. */
  readonly #missing = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  /** Whether the rows of this daemon are closed: nothing may be spent or drawn any more. */
  #isClosed = false;

  /** Called when another life of this instance has closed the rows of this one. */
  onFenced: () => void = () => undefined;

  /**
   * Creates the task.
   * @param ctx - store, peers and what is in force
   */
  constructor(private readonly ctx: AllowanceContext) {
    ctx.network.handle('borrow', (message, from) => this.#lend(message, from));
    ctx.network.handle('lent', (message) => this.#receive(message));
  }

  /** Draws a first part of every workspace and reports at intervals from then on. */
  start(): void {
    this.refresh();
    this.#timer = setInterval(() => this.refresh(), REFRESH_MS);
  }

  /** Draws what runs low and reports what was spent. */
  refresh(): void {
    const now = this.ctx.clock.now();
    const due = new Set<number>();
    this.ctx.workspaces().forEach((workspace) => {
      if (this.ctx.paidOf(workspace) === undefined) return;
      if (wantsDraw(this.#holding(workspace), this.ctx.policy(), now)) {
        due.add(this.#shardOf(workspace));
      }
    });
    due.forEach((shard) => {
      void this.#draw(shard);
    });
  }

  /**
   * Reserves the worst case of a request.
   * @param workspace - who pays
   * @param units - worst case
   * @param waitMs - longest wait for store and peers, in milliseconds
   * @returns nothing, or why the units cannot be had
   */
  async reserve(workspace: string, units: number, waitMs: number): Promise<Result<void, Failure>> {
    const paid = this.ctx.paidOf(workspace);
    if (paid === undefined) return Ok(undefined);
    if (this.#isClosed) return Err(failure('not-ready', workspace));
    if (this.#tryReserve(workspace, units)) return Ok(undefined);
    const until = this.ctx.clock.now() + waitMs;
    this.#missing.set(workspace, (this.#missing.get(workspace) ?? 0) + units);
    try {
      // A call to the store has its price, and peers that hold more than they need answer as fast.
      if (this.#peersHold(workspace, units)) await this.#borrow(workspace, units, FIRST_PEERS);
      if (this.#tryReserve(workspace, units)) return Ok(undefined);
      const drawn = this.#draw(this.#shardOf(workspace));
      if (this.ctx.isStoreUp()) await Promise.race([drawn, sleep(STORE_FIRST_MS)]);
      if (this.#tryReserve(workspace, units)) return Ok(undefined);
      await this.#borrow(workspace, units, MAX_PEERS);
      if (this.#tryReserve(workspace, units)) return Ok(undefined);
      const left = until - this.ctx.clock.now();
      if (left > 0) await Promise.race([drawn, sleep(left)]);
      if (this.#tryReserve(workspace, units)) return Ok(undefined);
    } finally {
      this.#missing.set(workspace, Math.max(0, (this.#missing.get(workspace) ?? 0) - units));
    }
    return Err(this.#shortage(workspace, units, paid));
  }

  /**
   * Settles a reservation.
   * @param workspace - who pays
   * @param reserved - units that were reserved
   * @param used - units that were used
   */
  settle(workspace: string, reserved: number, used: number): void {
    if (this.ctx.paidOf(workspace) === undefined && !this.#holdings.has(workspace)) return;
    const now = this.ctx.clock.now();
    this.#holdings.set(workspace, settleUnits(this.#holding(workspace), reserved, used, now));
  }

  /**
   * Gives every unit back that is not spent, before the process ends: to the store, or while that
   * is away to another daemon.
   */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#isClosed = true;
    await Promise.all([...this.#drawing.values()]);
    await Promise.all([...this.#entered].map((shard) => this.#end(shard)));
  }

  /**
   * Ends the row of a shard. The store is asked by a read first: after a write whose answer was lost
   * the rest might be free already, and must not be lent as well.
   */
  async #end(shard: number): Promise<void> {
    this.#objects.delete(shard);
    const object = await this.#read(shardKey(shard));
    if (object) this.#objects.set(shard, object);
    else await this.#handOver(shard);
    await this.#close(shard);
  }

  /** Reserves if the units are at hand. */
  #tryReserve(workspace: string, units: number): boolean {
    if (this.#isClosed) return false;
    const now = this.ctx.clock.now();
    const { holding, accepted } = reserveUnits(this.#holding(workspace), units, now);
    this.#holdings.set(workspace, holding);
    return accepted;
  }

  #holding(workspace: string): AllowanceHolding {
    const found = this.#holdings.get(workspace);
    if (found) return found;
    const holding = openHolding(workspace, this.ctx.policy(), this.ctx.clock.now());
    this.#holdings.set(workspace, holding);
    return holding;
  }

  #shardOf(workspace: string): number {
    return allowanceShardOf(workspace, this.ctx.shards);
  }

  /** Exhausted only where the store has shown that nobody can have enough. */
  #shortage(workspace: string, units: number, paid: number): Failure {
    const { view, escrow } = this.#holding(workspace);
    const unspent = view ? view.unspent - netSpent(escrow) : paid;
    const isExhausted = view !== undefined && unspent < units;
    const code = isExhausted ? 'budget-exhausted' : 'budget-unreachable';
    const retryAfterMs = this.ctx.isStoreUp() ? RETRY_MS : RETRY_AWAY_MS;
    return { ...failure(code, workspace), ...(!isExhausted && { retryAfterMs }) };
  }

  /** Draws for all workspaces of a shard; a draw that is under way is shared. */
  #draw(shard: number): Promise<boolean> {
    const running = this.#drawing.get(shard);
    if (running) return running;
    if (this.#isClosed) return Promise.resolve(false);
    const drawing = this.#update(shard, (stored) => this.#planDraw(shard, stored)).finally(() => {
      this.#drawing.delete(shard);
    });
    this.#drawing.set(shard, drawing);
    return drawing;
  }

  #planDraw(shard: number, stored: AllowanceShard): PlannedWrite | undefined {
    const { self, clock } = this.ctx;
    const policy = this.ctx.policy();
    if (this.#entered.has(shard) && !hasRow(stored, self)) {
      this.#fence(shard);
      return undefined;
    }
    const now = clock.now();
    const joined = this.#entered.has(shard) ? stored : closeEarlierLives(stored, self);
    const draws = this.ctx
      .workspaces()
      .filter((workspace) => this.#shardOf(workspace) === shard)
      .flatMap((workspace) => {
        const paid = this.ctx.paidOf(workspace);
        if (paid === undefined) return [];
        const view = viewAllowance(joined, self, workspace, paid);
        const holding = shedIdle({ ...this.#holding(workspace), view }, policy, now);
        this.#holdings.set(workspace, holding);
        const lacking = (this.#missing.get(workspace) ?? 0) - available(holding.escrow);
        return [{ draw: drawLine(holding, view, lacking, policy, now), view }];
      });
    const lines = draws.map(({ draw }) => draw.line);
    return { shard: withLines(joined, self, lines), draws };
  }

  /** Writes a shard conditionally, again after a conflict; the plan sees what is in force. */
  async #update(
    shard: number,
    plan: (stored: AllowanceShard) => PlannedWrite | undefined,
  ): Promise<boolean> {
    const key = shardKey(shard);
    for (let write = 0; write < MAX_WRITES; write += 1) {
      // eslint-disable-next-line no-await-in-loop
      const object = this.#objects.get(shard) ?? (await this.#read(key));
      if (!object) return false;
      const planned = plan(parseAllowances(object.value));
      if (!planned) return false;
      // eslint-disable-next-line no-await-in-loop
      const written = await this.ctx.store.write(key, planned.shard, object.version);
      if (written.ok) {
        this.#objects.set(shard, { key, version: written.val, value: planned.shard });
        this.#received(shard, planned);
        return true;
      }
      if (!this.#afterFailure(shard, written.val)) return false;
    }
    return false;
  }

  /** Keeps what a conflict shows; after any other failure the object is read again. */
  #afterFailure(shard: number, err: StoreError): boolean {
    if (err.problem === 'conflict' && err.current) {
      this.#objects.set(shard, err.current);
      return true;
    }
    this.#objects.delete(shard);
    if (err.problem === 'conflict') return true;
    this.#delayed(err);
    return false;
  }

  async #read(key: string): Promise<StoredObject | undefined> {
    const found = await this.ctx.store.read(key);
    if (found.ok) return found.val;
    this.#delayed(found.val);
    return undefined;
  }

  #delayed({ key, problem, text }: StoreError): void {
    this.ctx.recorder.record('allowanceDelayed', { detail: text, facts: { key, problem } });
  }

  #received(shard: number, { draws }: PlannedWrite): void {
    this.#entered.add(shard);
    draws.forEach(({ draw, view }) => {
      const { workspace, granted, spent } = draw.line;
      const before = this.#holding(workspace);
      const holding = receiveDrawn(before, draw, view, this.ctx.clock.now());
      this.#holdings.set(workspace, holding);
      const gained = granted - rowGrant(before.escrow);
      if (gained <= 0) return;
      const facts = { gained, granted, spent, free: view.free - granted, unspent: view.unspent };
      this.ctx.recorder.record('allowanceDrawn', { budget: workspace, facts });
    });
  }

  /** Some row was closed by a later life: this one must not spend what it granted any more. */
  #fence(shard: number): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.ctx.recorder.record('allowanceFenced', { detail: `shard ${shard}` });
    this.onFenced();
  }

  #close(shard: number): Promise<boolean> {
    const spent = new Map(
      [...this.#holdings].map(([workspace, { escrow }]) => [
        workspace,
        netSpent(escrow) + escrow.reserved,
      ]),
    );
    return this.#update(shard, (stored) => ({
      shard: closeRow(stored, this.ctx.self, spent),
      draws: [],
    }));
  }

  /** Lends all that is left to the first daemon that takes it. */
  async #handOver(shard: number): Promise<void> {
    const { network, self, recorder } = this.ctx;
    const names = network.peers().map(({ name }) => name);
    for (const peer of rendezvous(self, names)) {
      // A link tells the incarnation of the peer, which the loan is made out to.
      // eslint-disable-next-line no-await-in-loop
      const isReached = await this.#greet(peer);
      const borrower = network.incarnationOf(peer);
      if (isReached && borrower) {
        const workspaces = [...this.#holdings.keys()].filter(
          (name) => this.#shardOf(name) === shard,
        );
        // eslint-disable-next-line no-await-in-loop
        await Promise.all(workspaces.map((name) => this.#push(peer, borrower, name)));
        recorder.record('handoverDone', { peer: borrower });
        return;
      }
    }
    recorder.record('handoverDelayed', { facts: { peers: names.length } });
  }

  /** Asks a peer for nothing, to see whether it answers. */
  async #greet(peer: string): Promise<boolean> {
    const outlook = { unspent: 0, totalRate: 0 };
    const nothing = { budget: '', missing: 0, wanted: 0, outlook, known: 0 };
    const reply = await this.ctx.network.request({
      to: peer,
      body: { type: 'borrow', ...nothing },
      reply: 'lent',
      timeoutMs: HANDOVER_MS,
    });
    return reply.ok;
  }

  async #push(peer: string, borrower: Incarnation, workspace: string): Promise<void> {
    const holding = this.#holding(workspace);
    const units = this.#spare(holding);
    if (units <= 0) return;
    const escrow = passUnits(holding.escrow, borrower, units);
    this.#holdings.set(workspace, { ...holding, escrow });
    const passed = counterOf(escrow.passed, borrower);
    const loan = { lender: this.ctx.self, budget: workspace, passed, left: 0, isDurable: true };
    await this.ctx.network.request({
      to: peer,
      body: { type: 'lent', ...loan },
      reply: 'lent',
      timeoutMs: HANDOVER_MS,
    });
    this.ctx.recorder.record('allowanceLent', { budget: workspace, peer, facts: { units } });
  }

  /** Units that may be lent: borrowed ones stay, so that the own row covers every loan. */
  #spare({ escrow }: AllowanceHolding): number {
    return Math.min(available(escrow), rowGrant(escrow) - netSpent(escrow));
  }

  #receive(message: PeerMessageOf<'lent'>): PeerMessageOf<'lent'> {
    const { budget, lender, passed } = message;
    if (budget !== undefined) {
      const holding = this.#holding(budget);
      const escrow = receiveLoan(holding.escrow, { peer: lender, units: passed });
      this.#holdings.set(budget, { ...holding, escrow });
    }
    return message;
  }

  /** Borrows for a shortage; one round at a time for each workspace. */
  #borrow(workspace: string, units: number, peers: number): Promise<boolean> {
    const running = this.#borrowing.get(workspace);
    if (running) return running;
    const borrowing = this.#askPeers(workspace, units, peers).finally(() => {
      this.#borrowing.delete(workspace);
    });
    this.#borrowing.set(workspace, borrowing);
    return borrowing;
  }

  /** Whether some peer held much more than a request lacks when the store last showed it. */
  #peersHold(workspace: string, units: number): boolean {
    const { view, escrow } = this.#holding(workspace);
    const lacking = units - available(escrow);
    return view?.others.some(({ held }) => held > lacking * RICH) ?? false;
  }

  async #askPeers(workspace: string, units: number, most: number): Promise<boolean> {
    const { network, recorder } = this.ctx;
    const before = available(this.#holding(workspace).escrow);
    const peers = this.#richestFirst(workspace).slice(0, most);
    for (const peer of peers) {
      const needed = Math.max(this.#missing.get(workspace) ?? 0, units);
      const missing = needed - available(this.#holding(workspace).escrow);
      if (missing <= 0) break;
      // One peer after the other: each may cover the whole shortage.
      // eslint-disable-next-line no-await-in-loop
      await this.#askPeer(network, peer, workspace, missing);
    }
    const gained = available(this.#holding(workspace).escrow) - before;
    const facts = { asked: peers.length, units, gained };
    recorder.record('allowanceBorrowed', { budget: workspace, facts });
    return gained > 0;
  }

  async #askPeer(
    network: PeerNetwork,
    peer: string,
    workspace: string,
    missing: number,
  ): Promise<void> {
    const { escrow, view } = this.#holding(workspace);
    const incarnation = network.incarnationOf(peer);
    const known = incarnation ? counterOf(escrow.borrowed, incarnation) : 0;
    const outlook = { unspent: Math.max(0, view?.unspent ?? 0), totalRate: view?.othersRate ?? 0 };
    const asked = { budget: workspace, missing, wanted: missing, outlook, known };
    const reply = await network.request({
      to: peer,
      body: { type: 'borrow', ...asked },
      reply: 'lent',
      timeoutMs: PEER_MS,
    });
    if (reply.err) return;
    this.#receive({ ...reply.val, budget: workspace });
  }

  /** Peers by what the store last showed them to hold. */
  #richestFirst(workspace: string): readonly string[] {
    const held = new Map(
      this.#holding(workspace).view?.others.map((other) => [instanceOf(other.holder), other.held]),
    );
    const names = this.ctx.network.peers().map(({ name }) => name);
    return [...names].sort((a, b) => (held.get(b) ?? 0) - (held.get(a) ?? 0));
  }

  #lend(message: PeerMessageOf<'borrow'>, from: Incarnation): PeerMessageOf<'lent'> {
    const { budget, missing, wanted } = message;
    const holding = this.#holding(budget);
    const units = this.#isClosed ? 0 : loanUnits(this.#spare(holding), missing, wanted);
    const escrow = units > 0 ? passUnits(holding.escrow, from, units) : holding.escrow;
    this.#holdings.set(budget, { ...holding, escrow });
    const left = available(escrow);
    const facts = { units, missing, left };
    this.ctx.recorder.record('allowanceLent', { budget, peer: from, facts });
    const passed = counterOf(escrow.passed, from);
    return { type: 'lent', lender: this.ctx.self, passed, left, isDurable: true };
  }
}
