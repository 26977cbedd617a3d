/** Performs the decisions that admit a request to its budget. */
import { admit, refill } from '../budget/index.js';
import { drive, Err, instanceOf, Ok } from '../kernel/index.js';
import { AdmissionNotes } from './admissionnotes.js';

import type { AdmitCommand, AdmitEvent, DrawAnswer, HolderView } from '../budget/index.js';
import type { Failure, InstanceName, Result } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { BudgetTask } from './budgettask.js';
import type { Grants } from './grants.js';
import type { Lending } from './lending.js';

/** Longest wait of a request for the store before it asks peers, in milliseconds. */
const STORE_WAIT_MS = 700;

/** What admission needs. */
export interface AdmissionContext {
  readonly budgets: BudgetTask;
  readonly grants: Grants;
  readonly lending: Lending;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** A request that asks for units. */
export interface AdmissionAsk {
  /** Idempotency key of the request. */
  readonly request: string;
  readonly budget: string;
  /** Worst case of the request. */
  readonly units: number;
  /** Longest wait in milliseconds. */
  readonly waitMs: number;
}

/** State of one request while it is admitted. */
interface Waiting {
  readonly budget: string;
  readonly deadline: number;
  /** What the store showed in the present round; undefined if it did not answer. */
  shown: DrawAnswer | undefined;
}

async function within<Value>(promise: Promise<Value>, waitMs: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), waitMs);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Admits requests. */
export class Admission {
  readonly #refilling = new Set<string>();

  /**
   * Creates the performer.
   * @param ctx - holdings, store and peers
   */
  constructor(private readonly ctx: AdmissionContext) {}

  /**
   * Reserves the worst case of a request, from own units, the store or other holders.
   * @param ask - budget, units and the longest wait
   * @returns nothing, or the honest refusal
   */
  async admit({ request, budget, units, waitMs }: AdmissionAsk): Promise<Result<void, Failure>> {
    const waiting: Waiting = { budget, deadline: performance.now() + waitMs, shown: undefined };
    const notes = new AdmissionNotes(this.ctx.recorder, { request, budget, units });
    const outcome = await drive(admit({ budget, worstCase: units }), async (command) => {
      const event = await this.#perform(waiting, command);
      notes.add(command, event);
      return event;
    });
    return outcome.type === 'admitted' ? Ok(undefined) : Err(outcome.fail);
  }

  /** Ends lending and tells the store of every loan, before the holder leaves its shards. */
  async leave(): Promise<void> {
    const { grants, lending } = this.ctx;
    lending.stop();
    grants.stop();
    await grants.report();
  }

  async #perform(waiting: Waiting, command: AdmitCommand): Promise<AdmitEvent> {
    const { budgets } = this.ctx;
    const { budget } = waiting;
    switch (command.type) {
      case 'reserve': {
        const reply = await budgets.ask({ type: 'reserve', budget, units: command.units });
        if (reply.accepted) return { type: 'reserved', low: reply.low };
        return { type: 'short', missing: command.units - reply.available };
      }
      case 'prefetch':
        void this.#refill(budget);
        return { type: 'started' };
      case 'measure':
        return { type: 'lacking', units: (await budgets.ask({ type: 'read', budget })).lacking };
      case 'draw':
        return this.#draw(waiting, command.missing);
      case 'holders':
        return { type: 'holders', holders: await this.#holders(budget) };
      default:
        return this.#borrow(waiting, command);
    }
  }

  async #refill(budget: string): Promise<void> {
    if (this.#refilling.has(budget)) return;
    this.#refilling.add(budget);
    const waiting: Waiting = { budget, deadline: Infinity, shown: undefined };
    await drive(refill(), (command) => this.#perform(waiting, command));
    this.#refilling.delete(budget);
  }

  async #draw(waiting: Waiting, missing: number): Promise<AdmitEvent> {
    const { grants } = this.ctx;
    const state = waiting;
    const leftMs = state.deadline - performance.now();
    if (leftMs <= 0) return { type: 'late' };
    const draw = grants.draw(state.budget, missing);
    // While the store is away a call goes on in the background, so that its return is noticed.
    const waitMs = grants.isStoreAway ? 0 : Math.min(leftMs, STORE_WAIT_MS);
    state.shown = await within(draw, waitMs);
    return state.shown ? { type: 'drawn', left: state.shown.left } : { type: 'unreachable' };
  }

  /** Live instances, those that hold most first, then holders that no instance speaks for. */
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
    waiting: Waiting,
    command: Extract<AdmitCommand, { readonly type: 'borrow' }>,
  ): Promise<AdmitEvent> {
    const { network, lending } = this.ctx;
    const { holder, missing, wanted } = command;
    const instance = instanceOf(holder);
    const waitMs = waiting.deadline - performance.now();
    if (waitMs <= 0) return { type: 'late' };
    if (holder !== instance) {
      // A holder on record was asked through its instance, unless that runs another incarnation.
      const asked = network.incarnationOf(instance) === holder;
      return asked ? { type: 'lent', units: 0, left: 0 } : { type: 'unreachable' };
    }
    const ask = { budget: waiting.budget, missing, wanted, waitMs };
    const borrowed = await lending.borrow(instance, ask);
    if (borrowed) return { type: 'lent', ...borrowed };
    // An instance that holds nothing, as the store shows, need not answer.
    const holdsNothing = (view: HolderView): boolean => instanceOf(view.holder) !== instance;
    const empty = waiting.shown?.others.every(holdsNothing) ?? false;
    return empty ? { type: 'lent', units: 0, left: 0 } : { type: 'unreachable' };
  }
}
