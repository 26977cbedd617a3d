/** Lends units to other daemons and borrows from them. */
import { counterOf, totalOf } from '../budget/index.js';
import { instanceOf } from '../kernel/index.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerMessageOf, PeerNetwork } from '../link/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { BudgetTask } from './budgettask.js';

/**
 * Longest wait for the answer of one peer, in milliseconds; includes the time in which the peer
 * copies the loan to its backup.
 */
const BORROW_TIMEOUT_MS = 600;

/** Time after a failed request during which a peer is not asked again, in milliseconds. */
const PEER_FAILURE_BACKOFF_MS = 3_000;

/** Longest wait for the backup to acknowledge enough commitments for a loan, in milliseconds. */
const LOAN_COPY_TIMEOUT_MS = 400;

/**
 * Registers the loans from a budget as a commitment, which is copied to the backup of this daemon.
 * Otherwise a recovery of this daemon would free the lent units, and they could be granted twice.
 * @param budget - budget name
 * @param passed - total units lent
 * @param waitMs - longest wait in milliseconds
 * @returns whether the lent units may be used
 */
export type RegisterLoan = (budget: string, passed: number, waitMs: number) => Promise<boolean>;

/** Dependencies of the lending. */
export interface LendingContext {
  readonly self: Incarnation;
  readonly network: PeerNetwork;
  readonly budgets: BudgetTask;
  readonly recorder: Recorder;
  readonly registerLoan: RegisterLoan;
}

/** Units that a borrower needs from one holder. */
export interface BorrowRequest {
  readonly budget: string;
  readonly missing: number;
  readonly wanted: number;
  /** Longest wait in milliseconds. */
  readonly waitMs: number;
}

/** Answer of a lender. */
export interface BorrowResult {
  readonly units: number;
  /** Units that the lender still has available. */
  readonly left: number;
}

/** Borrows units from other holders, and answers their requests. */
export class Lending {
  #isStopped = false;

  readonly #backoffUntil = new Map<InstanceName, number>();

  /**
   * Registers the handler for borrowers.
   * @param ctx - links, holdings and the callback that registers loans
   */
  constructor(private readonly ctx: LendingContext) {
    ctx.network.handle('borrow', (message, from) => this.#lend(message, from));
  }

  /**
   * Borrows from an instance.
   * @param instance - instance name
   * @param request - budget, units and the longest wait
   * @returns the units lent and those left at the lender; undefined if the peer did not answer, the
   *   lender could not make the loan durable, or a request to the peer failed recently
   */
  async borrow(instance: InstanceName, request: BorrowRequest): Promise<BorrowResult | undefined> {
    if ((this.#backoffUntil.get(instance) ?? 0) > performance.now()) return undefined;
    const { network, budgets, recorder } = this.ctx;
    const { budget, missing, wanted } = request;
    const { escrow, holding } = await budgets.ask({ type: 'read', budget });
    const known = counterOf(escrow.borrowed, network.incarnationOf(instance) ?? '');
    const answer = await network.request({
      to: instance,
      body: { type: 'borrow', budget, missing, wanted, known, outlook: holding.outlook },
      reply: 'lent',
      timeoutMs: Math.max(1, Math.min(BORROW_TIMEOUT_MS, request.waitMs)),
    });
    if (answer.err) {
      this.#backoffUntil.set(instance, performance.now() + PEER_FAILURE_BACKOFF_MS);
      return undefined;
    }
    const { lender, passed, left, isDurable } = answer.val;
    if (!isDurable || instanceOf(lender) !== instance) return undefined;
    const units = Math.max(0, passed - counterOf(escrow.borrowed, lender));
    if (units > 0) {
      await budgets.ask({ type: 'loan', budget, loan: { peer: lender, units: passed } });
      recorder.record('unitsBorrowed', { budget, peer: lender, detail: `${units} units` });
    }
    return { units, left };
  }

  /** Stops lending; later requests are answered without a loan. */
  stop(): void {
    this.#isStopped = true;
  }

  async #lend(message: PeerMessageOf<'borrow'>, from: Incarnation): Promise<PeerMessageOf<'lent'>> {
    const { self, budgets, recorder, registerLoan } = this.ctx;
    const { budget, missing, wanted, known, outlook } = message;
    if (this.#isStopped) {
      return { type: 'lent', lender: self, passed: known, left: 0, isDurable: true };
    }
    const before = await budgets.ask({ type: 'read', budget });
    const request = { borrower: from, missing, wanted, known, outlook };
    const after = await budgets.ask({ type: 'lend', budget, request });
    const passed = counterOf(after.escrow.passed, from);
    const lent = passed - counterOf(before.escrow.passed, from);
    const isUnknownToBorrower = passed > known;
    const isDurable =
      !isUnknownToBorrower ||
      (await registerLoan(budget, totalOf(after.escrow.passed), LOAN_COPY_TIMEOUT_MS));
    if (lent > 0) {
      const detail = `${lent} units${isDurable ? '' : ', not yet durable'}`;
      recorder.record('unitsLent', { budget, peer: from, detail });
    }
    return { type: 'lent', lender: self, passed, left: after.available, isDurable };
  }
}
