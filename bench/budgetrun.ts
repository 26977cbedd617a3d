/** Runs one schedule against one way to admit requests and judges every refusal. */
import { CUT_OFF_DATA_CENTRE, ENTRY_DATA_CENTRES } from './budgetschedule.js';

import type { BudgetPolicy } from './budgetpolicy.js';
import type { BenchEvent, BenchRequest, BenchSchedule } from './budgetschedule.js';

/** Share of its payments that a workspace must still have for a refusal to count in a partition. */
const PLENTY_SHARE = 0.2;

/** Requests on one side of the partition. */
export interface SideCounts {
  readonly requests: number;
  readonly falseRefusals: number;
}

/** What a run counted. */
export interface RunCounts {
  readonly requests: number;
  /** Refused while unspent, unheld units for the worst case existed anywhere. */
  readonly falseRefusals: number;
  /** Requests on the smaller side with a fifth left of what was paid before the cut. */
  readonly smallerSide: SideCounts;
  /** The same, payments included that were made on the other side during the cut. */
  readonly smallerSidePaidLater: SideCounts;
  /** Units used beyond what was paid. */
  readonly overspend: number;
  /** Least share of a budget that was spent or reserved at its first final refusal. */
  readonly spendable: number;
  /** Units out of reach right after each death, as a share of all that is unspent. */
  readonly heldAfterDeath: readonly number[];
}

/** What is true of a budget, whatever the policy believes. */
interface ActualBudget {
  paid: number;
  /** Payments before the partition. */
  paidBeforeCut: number;
  used: number;
  reserved: number;
  /** Out of reach after deaths. */
  held: number;
  spendable: number | undefined;
}

/** One request that was admitted. */
interface OpenRequest {
  readonly entry: number;
  readonly incarnation: number;
  readonly req: BenchRequest;
}

function freeUnits({ paid, used, reserved, held }: ActualBudget): number {
  return paid - used - reserved - held;
}

/** Judges one run. */
export class BudgetRun {
  readonly #actual: ActualBudget[];

  readonly #open = new Map<number, OpenRequest>();

  readonly #incarnations = ENTRY_DATA_CENTRES.map(() => 0);

  readonly #down = new Set<number>();

  readonly #heldAfterDeath: number[] = [];

  #cut = false;

  #requests = 0;

  #falseRefusals = 0;

  #smallerSide: SideCounts = { requests: 0, falseRefusals: 0 };

  #smallerSidePaidLater: SideCounts = { requests: 0, falseRefusals: 0 };

  /**
   * Prepares a run.
   * @param schedule - what happens
   * @param policy - how requests are admitted
   */
  constructor(
    private readonly schedule: BenchSchedule,
    private readonly policy: BudgetPolicy,
  ) {
    this.#actual = schedule.budgets.map(({ paid }) => ({
      paid,
      paidBeforeCut: paid,
      used: 0,
      reserved: 0,
      held: 0,
      spendable: undefined,
    }));
  }

  /**
   * Runs the schedule to its end.
   * @returns what was counted
   */
  run(): RunCounts {
    this.schedule.events.forEach((event) => this.#apply(event));
    const reached = this.#actual.flatMap(({ spendable }) => spendable ?? []);
    return {
      requests: this.#requests,
      falseRefusals: this.#falseRefusals,
      smallerSide: this.#smallerSide,
      smallerSidePaidLater: this.#smallerSidePaidLater,
      overspend: this.#actual.reduce((sum, { used, paid }) => sum + Math.max(0, used - paid), 0),
      spendable: Math.min(1, ...reached),
      heldAfterDeath: this.#heldAfterDeath,
    };
  }

  #apply(event: BenchEvent): void {
    switch (event.type) {
      case 'arrive':
        this.#arrive(event.req, event.at);
        break;
      case 'finish':
        this.#finish(event.req, event.at);
        break;
      case 'topUp':
        this.#pay(event.budget, event.units);
        break;
      case 'die':
        this.#crash(event.entry);
        break;
      case 'recover':
        this.#recover(event.entry);
        break;
      case 'tick':
        this.policy.tick(event.at);
        break;
      default:
        this.#cut = event.type === 'cut';
        this.policy.setPartitioned(this.#cut);
    }
  }

  #actualOf(budget: number): ActualBudget {
    const found = this.#actual[budget];
    if (!found) throw new Error(`there is no budget ${budget}`);
    return found;
  }

  #entryFor({ centre, pick }: BenchRequest): number {
    const near = ENTRY_DATA_CENTRES.flatMap((dataCentre, entry) =>
      dataCentre === centre && !this.#down.has(entry) ? [entry] : [],
    );
    return near[Math.floor(pick * near.length)] ?? 0;
  }

  #arrive(req: BenchRequest, now: number): void {
    const actual = this.#actualOf(req.budget);
    const entry = this.#entryFor(req);
    this.#requests += 1;
    const result = this.policy.admit(entry, req, now);
    this.#countSide(req, result !== 'admitted');
    if (result === 'admitted') {
      actual.reserved += req.worstCase;
      this.#open.set(req.id, { entry, incarnation: this.#incarnations[entry] ?? 0, req });
      return;
    }
    const free = freeUnits(actual);
    if (result === 'exhausted') {
      actual.spendable ??= 1 - Math.max(0, free) / actual.paid;
    }
    if (free >= req.worstCase) this.#falseRefusals += 1;
  }

  /** Counts a request on the smaller side, before its verdict changes what is true. */
  #countSide(req: BenchRequest, refused: boolean): void {
    if (!this.#cut || req.centre !== CUT_OFF_DATA_CENTRE) return;
    const actual = this.#actualOf(req.budget);
    const falsely = refused && freeUnits(actual) >= req.worstCase;
    const add = ({ requests, falseRefusals }: SideCounts): SideCounts => ({
      requests: requests + 1,
      falseRefusals: falseRefusals + (falsely ? 1 : 0),
    });
    const hasPlenty = (paid: number): boolean => paid - actual.used >= paid * PLENTY_SHARE;
    if (hasPlenty(actual.paidBeforeCut)) this.#smallerSide = add(this.#smallerSide);
    if (hasPlenty(actual.paid)) this.#smallerSidePaidLater = add(this.#smallerSidePaidLater);
  }

  #pay(budget: number, units: number): void {
    const actual = this.#actualOf(budget);
    actual.paid += units;
    if (!this.#cut) actual.paidBeforeCut = actual.paid;
    this.policy.topUp(budget, units);
  }

  #finish(req: BenchRequest, now: number): void {
    const open = this.#open.get(req.id);
    this.#open.delete(req.id);
    if (!open || open.incarnation !== this.#incarnations[open.entry]) return;
    const actual = this.#actualOf(req.budget);
    actual.reserved -= req.worstCase;
    actual.used += req.used;
    this.policy.settle(open.entry, req, now);
  }

  #crash(entry: number): void {
    const open = [...this.#open.values()].filter(
      (candidate) =>
        candidate.entry === entry && candidate.incarnation === this.#incarnations[entry],
    );
    open.forEach(({ req }) => {
      this.#actualOf(req.budget).reserved -= req.worstCase;
    });
    const held = this.policy.crash(
      entry,
      open.map(({ req }) => req),
    );
    const unspent = this.#actual.reduce((sum, { paid, used }) => sum + paid - used, 0);
    held.forEach((units, budget) => {
      this.#actualOf(budget).held += units;
    });
    this.#heldAfterDeath.push(held.reduce((sum, units) => sum + units, 0) / unspent);
    this.#incarnations[entry] = (this.#incarnations[entry] ?? 0) + 1;
    this.#down.add(entry);
  }

  #recover(entry: number): void {
    this.#down.delete(entry);
    this.policy.recover(entry)?.forEach((units, budget) => {
      this.#actualOf(budget).held -= units;
    });
  }
}
