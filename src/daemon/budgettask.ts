/** Owns the escrows of one daemon. */
import {
  available,
  emptyEscrow,
  receiveGrant,
  reserve,
  settleReservation,
} from '../budget/index.js';
import { Task } from '../kernel/index.js';

import type { Escrow } from '../budget/index.js';

/** What the task is asked. */
export type BudgetMessage =
  | { readonly type: 'reserve'; readonly budget: string; readonly units: number }
  | {
      readonly type: 'settle';
      readonly budget: string;
      readonly reserved: number;
      readonly used: number;
    }
  | { readonly type: 'receive'; readonly budget: string; readonly granted: number }
  | { readonly type: 'read'; readonly budget: string };

/** The escrow after a message, and whether a reservation fitted. */
export interface BudgetReply {
  readonly escrow: Escrow;
  readonly available: number;
  readonly accepted: boolean;
}

/** Keeps one escrow for each budget that this daemon has used. */
export class BudgetTask extends Task<BudgetMessage, BudgetReply> {
  readonly #escrows = new Map<string, Escrow>();

  protected override handle(message: BudgetMessage): BudgetReply {
    const escrow = this.#escrows.get(message.budget) ?? emptyEscrow(message.budget);
    if (message.type === 'read') return this.#reply(escrow, true);
    if (message.type === 'receive') return this.#keep(receiveGrant(escrow, message.granted));
    if (message.type === 'settle') {
      return this.#keep(settleReservation(escrow, message.reserved, message.used));
    }
    const reserved = reserve(escrow, message.units);
    return reserved.ok ? this.#keep(reserved.val) : this.#reply(escrow, false);
  }

  #keep(escrow: Escrow): BudgetReply {
    this.#escrows.set(escrow.budget, escrow);
    return this.#reply(escrow, true);
  }

  #reply(escrow: Escrow, accepted: boolean): BudgetReply {
    return { escrow, available: available(escrow), accepted };
  }
}
