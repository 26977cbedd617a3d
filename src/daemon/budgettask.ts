/** Task that owns the budget holdings of this daemon. */
import {
  available,
  emptyHolding,
  lackingUnits,
  lend,
  demandAt,
  needsDraw,
  applyDrawAnswer,
  receiveGrant,
  receiveLoan,
  reserveInHolding,
  returnIdleUnits,
  settleInHolding,
  withEscrow,
} from '../budget/index.js';
import { Task } from '../kernel/index.js';

import type {
  DrawAnswer,
  DrawRequest,
  Escrow,
  Holding,
  LoanRequest,
  PeerCounter,
} from '../budget/index.js';
import type { Clock } from '../kernel/index.js';

/** Messages of the task. */
export type BudgetMessage =
  | { readonly type: 'reserve'; readonly budget: string; readonly units: number }
  | {
      readonly type: 'settle';
      readonly budget: string;
      readonly reserved: number;
      readonly used: number;
    }
  | { readonly type: 'receive'; readonly budget: string; readonly granted: number }
  | {
      readonly type: 'drawn';
      readonly budget: string;
      readonly asked: DrawRequest;
      readonly answer: DrawAnswer;
    }
  | { readonly type: 'lend'; readonly budget: string; readonly request: LoanRequest }
  | { readonly type: 'loan'; readonly budget: string; readonly loan: PeerCounter }
  | { readonly type: 'return-idle'; readonly budget: string }
  | { readonly type: 'read'; readonly budget: string };

/** State of the holding after a message. */
export interface BudgetReply {
  readonly holding: Holding;
  readonly escrow: Escrow;
  readonly available: number;
  /** Whether a reservation succeeded; true for all other messages. */
  readonly accepted: boolean;
  /** Whether a background draw is due. */
  readonly isLow: boolean;
  /**
   * Units that the holding lacks up to its target once its available units run low; 0 otherwise.
   */
  readonly lacking: number;
}

/** Keeps one holding for each budget that this daemon has used. */
export class BudgetTask extends Task<BudgetMessage, BudgetReply> {
  readonly #holdings = new Map<string, Holding>();

  /**
   * Creates the task.
   * @param clock - clock for measuring demand
   */
  constructor(private readonly clock: Clock) {
    super();
  }

  /** Budgets that this daemon has used. */
  get budgets(): readonly string[] {
    return [...this.#holdings.keys()];
  }

  protected override handle(message: BudgetMessage): BudgetReply {
    const now = this.clock.now();
    const holding = this.#holdings.get(message.budget) ?? emptyHolding(message.budget, now);
    if (message.type === 'read') return this.#reply(holding, true);
    if (message.type === 'reserve') {
      const result = reserveInHolding(holding, message.units, now);
      return this.#save(result.holding, result.accepted);
    }
    return this.#save(BudgetTask.#apply(holding, message, now), true);
  }

  static #apply(
    holding: Holding,
    message: Exclude<BudgetMessage, { readonly type: 'read' | 'reserve' }>,
    now: number,
  ): Holding {
    const { escrow } = holding;
    switch (message.type) {
      case 'settle':
        return settleInHolding(holding, message.reserved, message.used, now);
      case 'receive':
        return { ...holding, escrow: receiveGrant(escrow, message.granted) };
      case 'drawn':
        return applyDrawAnswer(holding, message.asked, message.answer, now);
      case 'lend':
        return withEscrow(
          holding,
          lend(escrow, demandAt(holding.demand, now), message.request).escrow,
        );
      case 'loan':
        return withEscrow(holding, receiveLoan(escrow, message.loan));
      default:
        return returnIdleUnits(holding, now);
    }
  }

  #save(holding: Holding, accepted: boolean): BudgetReply {
    this.#holdings.set(holding.escrow.budget, holding);
    return this.#reply(holding, accepted);
  }

  #reply(holding: Holding, accepted: boolean): BudgetReply {
    const now = this.clock.now();
    const { escrow } = holding;
    return {
      holding,
      escrow,
      available: available(escrow),
      accepted,
      isLow: needsDraw(holding, now),
      lacking: lackingUnits(holding, now),
    };
  }
}
