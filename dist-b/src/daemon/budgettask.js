/** Owns the escrows of one daemon. */
import { available, emptyEscrow, receiveGrant, reserve, returnUnits, settleReservation, } from '../budget/index.js';
import { Task } from '../kernel/index.js';
/** Keeps one escrow for each budget that this daemon has used. */
export class BudgetTask extends Task {
    #escrows = new Map();
    /** Budgets that this daemon has an escrow for. */
    get names() {
        return [...this.#escrows.keys()];
    }
    handle(message) {
        const escrow = this.#escrows.get(message.budget) ?? emptyEscrow(message.budget);
        if (message.type === 'read')
            return this.#reply(escrow, true);
        if (message.type === 'release')
            return this.#keep(returnUnits(escrow, available(escrow)));
        if (message.type === 'receive')
            return this.#keep(receiveGrant(escrow, message.granted));
        if (message.type === 'settle') {
            return this.#keep(settleReservation(escrow, message.reserved, message.used));
        }
        const reserved = reserve(escrow, message.units);
        return reserved.ok ? this.#keep(reserved.val) : this.#reply(escrow, false);
    }
    #keep(escrow) {
        this.#escrows.set(escrow.budget, escrow);
        return this.#reply(escrow, true);
    }
    #reply(escrow, accepted) {
        return { escrow, available: available(escrow), accepted };
    }
}
//# sourceMappingURL=budgettask.js.map