/** Replays a schedule against a budget policy and classifies every refusal. */
import { CUT_OFF_DATA_CENTRE, ENTRY_DATA_CENTRES } from './budgetschedule.js';

import type { BudgetPolicy } from './budgetpolicy.js';
import type { BenchEvent, BenchRequest, BenchSchedule } from './budgetschedule.js';

/** Share of the paid units that must be unused for a request to count in a partition. */
const PLENTY_SHARE = 0.2;

/** Counts of requests on one side of the partition. */
export interface SideCounts {
  readonly requests: number;
  readonly falseRefusals: number;
}

/** Results of a run. */
export interface RunCounts {
  readonly requests: number;
  /** Requests refused although free units for their worst case existed somewhere in the fleet. */
  readonly falseRefusals: number;
  /**
   * Requests on the smaller side during the partition, while at least a fifth of the units paid
   * before the partition is unused.
   */
  readonly smallerSide: SideCounts;
  /**
   * Like `smallerSide`, but payments made on the larger side during the partition also count as
   * paid units, of which a fifth must be unused.
   */
  readonly smallerSidePaidLater: SideCounts;
  /** Units used beyond the paid units. */
  readonly overspend: number;
  /** Minimum share of a budget in use or held at its first `exhausted` refusal. */
  readonly spendable: number;
  /** Units made unavailable by each crash, as a share of all unspent units. */
  readonly heldAfterDeath: readonly number[];
}

/** Actual state of a budget, tracked independently of the policy. */
interface ActualBudget {
  paid: number;
  /** Units paid before the partition. */
  paidBeforeCut: number;
  used: number;
  reserved: number;
  /** Units that are unavailable after crashes. */
  held: number;
  spendable: number | undefined;
}

/** An admitted request that has not finished. */
interface OpenRequest {
  readonly entry: number;
  readonly incarnation: number;
  readonly req: BenchRequest;
}

function freeUnits({ paid, used, reserved, held }: ActualBudget): number {
  return paid - used - reserved - held;
}

/** Replays one schedule with one policy. */
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
   * @param schedule - events to replay
   * @param policy - policy that admits or refuses the requests
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
   * Replays the whole schedule.
   * @returns the results
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
    if (!found) throw new Error(`unknown budget ${budget}`);
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

  /** Counts a request on the smaller side, before its result changes the actual budget. */
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
