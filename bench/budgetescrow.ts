/** Budget policy that calls the product's own rules in one process: escrow, draws and loans. */
import {
  admit,
  applyTransfer,
  available,
  counterOf,
  demandAt,
  drawRequest,
  drawUnits,
  emptyHolding,
  lackingUnits,
  lend,
  needsDraw,
  parseShard,
  applyDrawAnswer,
  receiveLoan,
  recordBackup,
  refill,
  replaceBudget,
  reserveInHolding,
  returnIdleUnits,
  rowOf,
  settleInHolding,
  topUp,
  withEscrow,
  withRow,
} from '../src/budget/index.js';
import { BudgetPolicy } from './budgetpolicy.js';
import { ENTRY_DATA_CENTRES } from './budgetschedule.js';

import type {
  AdmitCommand,
  AdmitEvent,
  BudgetRecord,
  BudgetShard,
  Holding,
} from '../src/budget/index.js';
import type { AdmissionResult } from './budgetpolicy.js';
import type { BenchBudget, BenchRequest } from './budgetschedule.js';

/** One incarnation of an entry daemon. */
interface Entry {
  readonly slot: number;
  readonly holder: string;
  readonly holdings: Map<number, Holding>;
}

/** Interval between returns of idle units, in ticks. */
const IDLE_RETURN_TICKS = 6;

/** Applies the product's budget rules; store calls and messages complete without delay. */
export class EscrowPolicy extends BudgetPolicy {
  readonly #shards: BudgetShard[];

  readonly #entries: Entry[];

  readonly #dead = new Map<number, { readonly entry: Entry; readonly reserved: number[] }>();

  #incarnations = 0;

  #ticks = 0;

  #operations = 0;

  /** Requests decided without waiting for a draw or a loan. */
  admittedLocally = 0;

  /** Loan requests sent to other holders. */
  messages = 0;

  /**
   * Records the initial payments and starts the entries.
   * @param budgets - budgets with their initial payments
   */
  constructor(budgets: readonly BenchBudget[]) {
    super(budgets);
    this.#shards = budgets.map(() => parseShard(null));
    budgets.forEach(({ paid }, budget) => this.topUp(budget, paid));
    this.#entries = ENTRY_DATA_CENTRES.map((_, slot) => this.#newEntry(slot));
  }

  override admit(slot: number, req: BenchRequest, now: number): AdmissionResult {
    const entry = this.#entry(slot);
    const procedure = admit({ budget: this.#name(req.budget), worstCase: req.worstCase });
    let step = procedure.next();
    let waited = false;
    while (!step.done) {
      waited = waited || step.value.type === 'draw' || step.value.type === 'borrow';
      step = procedure.next(this.#perform(entry, req.budget, step.value, now));
    }
    if (!waited) this.admittedLocally += 1;
    if (step.value.type === 'admitted') return 'admitted';
    return step.value.fail.code === 'budget-exhausted' ? 'exhausted' : 'unreachable';
  }

  override settle(slot: number, { budget, worstCase, used }: BenchRequest, now: number): void {
    const entry = this.#entry(slot);
    entry.holdings.set(
      budget,
      settleInHolding(this.#holding(entry, budget, now), worstCase, used, now),
    );
  }

  override topUp(budget: number, units: number): void {
    this.#operations += 1;
    const operation = `payment-${this.#operations}`;
    const payment = { budget: this.#name(budget), workspace: 'w', operation, units, at: 0 };
    const change = topUp(this.#shard(budget), payment);
    if (change.kind === 'write') this.#shards[budget] = change.value;
  }

  override crash(slot: number): readonly number[] {
    const entry = this.#entry(slot);
    const reserved = this.budgets.map(
      (_, budget) => entry.holdings.get(budget)?.escrow.reserved ?? 0,
    );
    this.#dead.set(slot, { entry, reserved });
    this.#entries[slot] = this.#newEntry(slot);
    return this.budgets.map((_, budget) => {
      const holding = entry.holdings.get(budget);
      return holding ? available(holding.escrow) + holding.escrow.reserved : 0;
    });
  }

  override recover(slot: number): readonly number[] | undefined {
    const found = this.#dead.get(slot);
    if (!found || this.isCutOff(slot)) return undefined;
    this.#dead.delete(slot);
    const { entry } = found;
    return this.budgets.map((_, budget) => {
      const holding = entry.holdings.get(budget);
      return holding ? this.#closeRow(entry, budget, holding) : 0;
    });
  }

  override tick(now: number): void {
    this.#ticks += 1;
    this.#entries
      .filter(({ slot }) => !this.isCutOff(slot))
      .forEach((entry) =>
        [...entry.holdings].forEach(([budget, holding]) => {
          this.#recordSpent(entry, budget, holding);
          this.#returnIdle(entry, budget, holding, now);
        }),
      );
  }

  /** Units granted and not returned beyond the paid units; 0 unless a rule is violated. */
  get overdrawn(): number {
    return this.#shards.reduce((sum, shard) => {
      const [budget] = shard.budgets;
      const held = budget?.rows.reduce((all, row) => all + row.granted - row.returned, 0) ?? 0;
      return sum + Math.max(0, held - (budget?.paid ?? 0));
    }, 0);
  }

  #name(budget: number): string {
    return this.budgets[budget]?.name ?? '';
  }

  #shard(budget: number): BudgetShard {
    return this.#shards[budget] ?? parseShard(null);
  }

  #record(budget: number): BudgetRecord {
    const [found] = this.#shard(budget).budgets;
    if (!found) throw new Error(`budget ${budget} has no payment`);
    return found;
  }

  #newEntry(slot: number): Entry {
    this.#incarnations += 1;
    return { slot, holder: `entry-${slot}~${this.#incarnations}`, holdings: new Map() };
  }

  #entry(slot: number): Entry {
    const found = this.#entries[slot];
    if (!found) throw new Error(`unknown entry ${slot}`);
    return found;
  }

  #holding(entry: Entry, budget: number, now: number): Holding {
    return entry.holdings.get(budget) ?? emptyHolding(this.#name(budget), now);
  }

  #perform(entry: Entry, budget: number, command: AdmitCommand, now: number): AdmitEvent {
    const holding = this.#holding(entry, budget, now);
    switch (command.type) {
      case 'reserve': {
        const result = reserveInHolding(holding, command.units, now);
        entry.holdings.set(budget, result.holding);
        if (result.accepted) return { type: 'reserved', low: needsDraw(result.holding, now) };
        return { type: 'short', missing: command.units - available(holding.escrow) };
      }
      case 'prefetch':
        this.#refill(entry, budget, now);
        return { type: 'started' };
      case 'measure':
        return { type: 'lacking', units: lackingUnits(holding, now) };
      case 'draw':
        return this.#draw(entry, budget, command.missing, now);
      case 'holders':
        return { type: 'holders', holders: this.#holders(entry, holding) };
      default:
        return this.#borrow(entry, budget, command, now);
    }
  }

  #refill(entry: Entry, budget: number, now: number): void {
    const procedure = refill();
    let step = procedure.next();
    while (!step.done) step = procedure.next(this.#perform(entry, budget, step.value, now));
  }

  #draw(entry: Entry, budget: number, missing: number, now: number): AdmitEvent {
    if (this.isCutOff(entry.slot)) return { type: 'unreachable' };
    const holding = this.#holding(entry, budget, now);
    const asked = drawRequest(holding, entry.holder, missing, now);
    const ask = { holder: entry.holder, backup: null, joined: false };
    const joined = recordBackup(this.#shard(budget), ask);
    if (joined.kind === 'write') this.#shards[budget] = joined.value;
    const change = drawUnits(this.#shard(budget), asked);
    this.storeCalls += change.kind === 'write' ? 2 : 1;
    if (change.kind === 'write') this.#shards[budget] = change.value;
    entry.holdings.set(budget, applyDrawAnswer(holding, asked, change.outcome, now));
    return { type: 'drawn', left: change.outcome.left };
  }

  #holders(entry: Entry, holding: Holding): readonly string[] {
    const held = new Map(holding.others.map((other) => [other.holder, other.held]));
    const live = this.#entries.filter(({ slot }) => slot !== entry.slot);
    const dead = [...this.#dead.values()].map((gone) => gone.entry);
    return [...live, ...dead]
      .map(({ holder }) => holder)
      .sort((a, b) => (held.get(b) ?? 0) - (held.get(a) ?? 0));
  }

  #borrow(
    entry: Entry,
    budget: number,
    { holder, missing, wanted }: Extract<AdmitCommand, { readonly type: 'borrow' }>,
    now: number,
  ): AdmitEvent {
    this.messages += 1;
    const lender = this.#entries.find((candidate) => candidate.holder === holder);
    if (!lender || !this.reaches(entry.slot, lender.slot)) return { type: 'unreachable' };
    const from = this.#holding(lender, budget, now);
    const to = this.#holding(entry, budget, now);
    const known = counterOf(to.escrow.borrowed, lender.holder);
    const { outlook } = to;
    const ask = { borrower: entry.holder, missing, wanted, known, outlook };
    const loan = lend(from.escrow, demandAt(from.demand, now), ask);
    lender.holdings.set(budget, withEscrow(from, loan.escrow));
    const counter = { peer: lender.holder, units: loan.passed };
    entry.holdings.set(budget, withEscrow(to, receiveLoan(to.escrow, counter)));
    return { type: 'lent', units: loan.passed - known, left: loan.left };
  }

  #recordSpent(entry: Entry, budget: number, { escrow }: Holding): void {
    const record = this.#record(budget);
    const row = rowOf(record, entry.holder);
    if (row.spent === escrow.spent) return;
    const next = withRow(record, { ...row, spent: escrow.spent });
    this.#shards[budget] = replaceBudget(this.#shard(budget), next);
  }

  #returnIdle(entry: Entry, budget: number, holding: Holding, now: number): void {
    const kept = this.#ticks % IDLE_RETURN_TICKS === 0 ? returnIdleUnits(holding, now) : holding;
    entry.holdings.set(budget, kept);
    if (!kept.reported) this.#draw(entry, budget, 0, now);
  }

  #closeRow(entry: Entry, budget: number, { escrow }: Holding): number {
    const moved = escrow.passed.reduce(
      (record, { peer, units }) => applyTransfer(record, { from: entry.holder, to: peer, units }),
      escrow.borrowed.reduce(
        (record, { peer, units }) => applyTransfer(record, { from: peer, to: entry.holder, units }),
        this.#record(budget),
      ),
    );
    const row = rowOf(moved, entry.holder);
    // Open reservations stay held; they stand for the units that recovery holds in the product.
    const returned = Math.max(row.returned, row.granted - escrow.spent - escrow.reserved);
    const next = withRow(moved, { ...row, spent: escrow.spent, returned });
    this.#shards[budget] = replaceBudget(this.#shard(budget), next);
    return available(escrow);
  }
}
