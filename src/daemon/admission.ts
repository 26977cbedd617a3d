/** Executes the admission procedure: reserves the units of a request from its budget. */
import { admit, refill } from '../budget/index.js';
import { drive, Err, instanceOf, Ok, waitAtMost } from '../kernel/index.js';
import { AdmissionTrace } from './admissiontrace.js';

import type { AdmitCommand, AdmitEvent, DrawAnswer, HolderView } from '../budget/index.js';
import type { Failure, InstanceName, Result } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { BudgetTask } from './budgettask.js';
import type { Grants } from './grants.js';
import type { Lending } from './lending.js';

/** Longest wait of a request for the store before it asks other holders, in milliseconds. */
const STORE_TIMEOUT_MS = 700;

/** Dependencies of the admission. */
export interface AdmissionContext {
  readonly budgets: BudgetTask;
  readonly grants: Grants;
  readonly lending: Lending;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** Units that a request needs, and how long it may wait. */
export interface AdmissionRequest {
  /** Idempotency key of the request. */
  readonly request: string;
  readonly budget: string;
  /** Maximum number of units that the request can cost. */
  readonly units: number;
  /** Longest wait in milliseconds. */
  readonly waitMs: number;
}

/** State of one admission or refill. */
interface AdmissionState {
  readonly budget: string;
  readonly deadline: number;
  /**
   * Answer of the store to the last draw; undefined before the first draw, and if the last draw
   * failed or took too long.
   */
  lastDraw: DrawAnswer | undefined;
}

/** Admits requests to their budgets. */
export class Admission {
  readonly #refilling = new Set<string>();

  /**
   * Creates the admission.
   * @param ctx - holdings, draws, loans, links to peers and recorder
   */
  constructor(private readonly ctx: AdmissionContext) {}

  /**
   * Reserves the worst-case cost of a request: from own units, else from the store or other
   * holders.
   * @param request - budget, units and the longest wait
   * @returns nothing, or the failure that says why the units were not obtained
   */
  async admit({
    request,
    budget,
    units,
    waitMs,
  }: AdmissionRequest): Promise<Result<void, Failure>> {
    const state: AdmissionState = {
      budget,
      deadline: performance.now() + waitMs,
      lastDraw: undefined,
    };
    const trace = new AdmissionTrace(this.ctx.recorder, { request, budget, units });
    const outcome = await drive(admit({ budget, worstCase: units }), async (command) => {
      const event = await this.#perform(state, command);
      trace.add(command, event);
      return event;
    });
    return outcome.type === 'admitted' ? Ok(undefined) : Err(outcome.fail);
  }

  /**
   * Stops lending and reports all loans to the store. Must be called before this daemon ends its
   * shard entries, because the store accepts no report from a holder without an active entry.
   */
  async leave(): Promise<void> {
    const { grants, lending } = this.ctx;
    lending.stop();
    grants.stop();
    await grants.report();
  }

  async #perform(state: AdmissionState, command: AdmitCommand): Promise<AdmitEvent> {
    const { budgets } = this.ctx;
    const { budget } = state;
    switch (command.type) {
      case 'reserve': {
        const reply = await budgets.ask({ type: 'reserve', budget, units: command.units });
        if (reply.accepted) return { type: 'reserved', low: reply.isLow };
        return { type: 'short', missing: command.units - reply.available };
      }
      case 'prefetch':
        void this.#refill(budget);
        return { type: 'started' };
      case 'measure':
        return { type: 'lacking', units: (await budgets.ask({ type: 'read', budget })).lacking };
      case 'draw':
        return this.#draw(state, command.missing);
      case 'holders':
        return { type: 'holders', holders: await this.#holders(budget) };
      default:
        return this.#borrow(state, command);
    }
  }

  async #refill(budget: string): Promise<void> {
    if (this.#refilling.has(budget)) return;
    this.#refilling.add(budget);
    const state: AdmissionState = { budget, deadline: Infinity, lastDraw: undefined };
    await drive(refill(), (command) => this.#perform(state, command));
    this.#refilling.delete(budget);
  }

  async #draw(state: AdmissionState, missing: number): Promise<AdmitEvent> {
    const { grants } = this.ctx;
    const current = state;
    const leftMs = current.deadline - performance.now();
    if (leftMs <= 0) return { type: 'late' };
    const draw = grants.draw(current.budget, missing);
    // After a recent store failure the request does not wait for the draw. The draw continues in
    // the background, so that a success shows that the store answers again.
    const waitMs = grants.hasStoreFailedRecently ? 0 : Math.min(leftMs, STORE_TIMEOUT_MS);
    current.lastDraw = await waitAtMost(draw, waitMs);
    return current.lastDraw
      ? { type: 'drawn', left: current.lastDraw.left }
      : { type: 'unreachable' };
  }

  /**
   * Lists the peer instances, those that hold the most units first, followed by every recorded
   * holder of the budget by incarnation.
   */
  async #holders(budget: string): Promise<readonly string[]> {
    const { network, budgets } = this.ctx;
    const { holding } = await budgets.ask({ type: 'read', budget });
    const heldAt = new Map<InstanceName, number>();
    holding.others.forEach(({ holder, held }) => {
      heldAt.set(instanceOf(holder), (heldAt.get(instanceOf(holder)) ?? 0) + held);
    });
    const names = network.peers().map(({ name }) => name);
    const sorted = names.sort((a, b) => (heldAt.get(b) ?? 0) - (heldAt.get(a) ?? 0));
    return [...sorted, ...holding.others.map(({ holder }) => holder)];
  }

  async #borrow(
    state: AdmissionState,
    command: Extract<AdmitCommand, { readonly type: 'borrow' }>,
  ): Promise<AdmitEvent> {
    const { network, lending } = this.ctx;
    const { holder, missing, wanted } = command;
    const instance = instanceOf(holder);
    const waitMs = state.deadline - performance.now();
    if (waitMs <= 0) return { type: 'late' };
    if (holder !== instance) {
      // The instance was already asked by its name, which covers this holder if the instance still
      // runs this incarnation.
      const isAsked = network.incarnationOf(instance) === holder;
      return isAsked ? { type: 'lent', units: 0, left: 0 } : { type: 'unreachable' };
    }
    const request = { budget: state.budget, missing, wanted, waitMs };
    const borrowed = await lending.borrow(instance, request);
    if (borrowed) return { type: 'lent', ...borrowed };
    // If the store records no holder at this instance, a missing answer counts as the answer that
    // it has no units.
    const holdsNothing = (view: HolderView): boolean => instanceOf(view.holder) !== instance;
    const isEmpty = state.lastDraw?.others.every(holdsNothing) ?? false;
    return isEmpty ? { type: 'lent', units: 0, left: 0 } : { type: 'unreachable' };
  }
}
