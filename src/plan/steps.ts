/** Decides the next steps of a plan; whoever carries it out may die between any two of them. */
import type { Procedure } from '../kernel/index.js';
import type { OrderKind } from './document.js';
import type { PlanOrder, PlanPhase, PlanState } from './state.js';

/** Time after an intent was recorded in which its order may still be sent, in milliseconds. */
export const ORDER_SEND_TIMEOUT_MS = 2_000;

/** Wait until an order of an earlier executor cannot arrive any more, in milliseconds. */
export const EARLIER_EXECUTOR_WAIT_MS = 2 * ORDER_SEND_TIMEOUT_MS;

/** Time after acceptance at which no daemon dispatches to the upstream any more, in milliseconds. */
export const DISPATCH_STOP_MS = 3_000;

/** An order as it goes to an upstream. */
export interface UpstreamOrder {
  /** Unique among all orders: plan and position. */
  readonly id: string;
  readonly order: OrderKind;
  readonly fence: number;
}

/** What the procedure asks to be done. */
export type PlanCommand =
  /** Ask every listed daemon what it knows and has open. */
  | { readonly type: 'survey' }
  /** Read what the upstream says about itself. */
  | { readonly type: 'inspect' }
  /** Draw the next fencing number of the upstream. */
  | { readonly type: 'fence' }
  /** Make older fencing numbers invalid at the upstream. */
  | { readonly type: 'present'; readonly fence: number }
  /** Write the plan if no one else has. */
  | { readonly type: 'write'; readonly plan: PlanState }
  | { readonly type: 'send'; readonly order: UpstreamOrder }
  | { readonly type: 'wait'; readonly ms: number }
  /** Write the closing statement of the workspace. */
  | { readonly type: 'close' };

/** What daemons answered to a survey. */
export interface Survey {
  readonly type: 'surveyed';
  /** Listed daemons that did not answer. */
  readonly unreachable: readonly string[];
  /** Daemons that do not know the plan at this version. */
  readonly unaware: readonly string[];
  /** Requests that are open at what the plan names. */
  readonly open: number;
}

/** What came of a command. */
export type PlanEvent =
  | Survey
  | { readonly type: 'done' }
  /** Another executor or an operator wrote first, or the outcome is not known. */
  | { readonly type: 'stopped' }
  | { readonly type: 'fenced'; readonly fence: number }
  | {
      readonly type: 'inspected';
      /** Requests that the upstream has open; null if it does not say. */
      readonly open: number | null;
      /** Ids of the orders that it has carried out. */
      readonly orders: readonly string[];
    }
  | { readonly type: 'closed'; readonly closing: PlanState['closing'] };

/** What the decisions know beside the plan itself. */
export interface PlanView {
  readonly plan: PlanState;
  /** Milliseconds since the epoch. */
  readonly wall: number;
  /** Milliseconds since this executor first saw the plan accepted. */
  readonly acceptedForMs: number;
  /** Whether the upstream refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
}

type Steps = Procedure<PlanCommand, PlanEvent, void>;

function* writePhase(plan: PlanState, phase: PlanPhase, waitsFor: string): Steps {
  yield { type: 'write', plan: { ...plan, phase, waitsFor } };
}

function* writeWaitsFor(plan: PlanState, waitsFor: string): Steps {
  if (plan.waitsFor === waitsFor) return;
  yield { type: 'write', plan: { ...plan, waitsFor } };
}

function missingDaemons(survey: Survey): string {
  return [...survey.unreachable, ...survey.unaware].join(', ');
}

function* arm(plan: PlanState): Steps {
  const survey = yield { type: 'survey' };
  if (survey.type !== 'surveyed') return;
  const names = missingDaemons(survey);
  if (names === '') yield* writePhase(plan, 'armed', 'start');
  else yield* writeWaitsFor(plan, `acknowledgement by ${names}`);
}

function isDue({ plan, wall }: PlanView): boolean {
  const { from } = plan.document;
  return plan.started || (from !== undefined && wall >= Date.parse(from));
}

function* accept({ plan, wall }: PlanView): Steps {
  const next: PlanState = { ...plan, phase: 'leaving', acceptedAt: wall, waitsFor: 'open work' };
  yield { type: 'write', plan: next };
}

function* drainUpstream(view: PlanView): Steps {
  const { plan } = view;
  const survey = yield { type: 'survey' };
  if (survey.type !== 'surveyed') return;
  const names = missingDaemons(survey);
  if (names === '' && survey.open === 0) {
    yield* writePhase(plan, 'ordering', 'orders');
    return;
  }
  // A daemon that does not answer dispatches no more after the quiet time; the upstream's own count
  // then proves that nothing it sent before is left.
  if (names !== '' && view.acceptedForMs > DISPATCH_STOP_MS) {
    const inspected = yield { type: 'inspect' };
    if (inspected.type === 'inspected' && inspected.open === 0) {
      yield* writePhase(plan, 'ordering', 'orders');
      return;
    }
  }
  yield* writeWaitsFor(plan, names === '' ? 'open work' : `open work, answer of ${names}`);
}

function withOrder(plan: PlanState, index: number, next: PlanOrder): PlanState {
  const orders = plan.orders.map((order, position) => (position === index ? next : order));
  return { ...plan, orders };
}

/** Makes sure that an order of an earlier sender has arrived or never will. */
function* fenceEarlierExecutor(
  view: PlanView,
  fence: number,
): Procedure<PlanCommand, PlanEvent, boolean> {
  if (!view.checksFencing) {
    yield { type: 'wait', ms: EARLIER_EXECUTOR_WAIT_MS };
    return true;
  }
  const presented = yield { type: 'present', fence };
  return presented.type === 'done';
}

function* sendOrder(view: PlanView, index: number, entry: PlanOrder): Steps {
  const { plan } = view;
  const id = `${plan.document.name}/${index}`;
  const fenced = yield { type: 'fence' };
  if (fenced.type !== 'fenced') return;
  const { fence } = fenced;
  const confirmed = withOrder(plan, index, { ...entry, state: 'confirmed', fence });
  if (entry.state === 'intended') {
    if (!(yield* fenceEarlierExecutor(view, fence))) return;
    const before = yield { type: 'inspect' };
    if (before.type !== 'inspected') return;
    if (before.orders.includes(id)) {
      yield { type: 'write', plan: confirmed };
      return;
    }
  }
  const intent = withOrder(plan, index, { ...entry, state: 'intended', fence });
  const written = yield { type: 'write', plan: intent };
  if (written.type !== 'done') return;
  yield { type: 'send', order: { id, order: entry.order, fence } };
  const after = yield { type: 'inspect' };
  if (after.type !== 'inspected' || !after.orders.includes(id)) return;
  yield { type: 'write', plan: confirmed };
}

function* sendNextOrder(view: PlanView): Steps {
  const { plan } = view;
  const index = plan.orders.findIndex(({ state }) => state !== 'confirmed');
  const entry = plan.orders[index];
  if (entry) yield* sendOrder(view, index, entry);
  else yield* writePhase(plan, 'done', '');
}

function* closeWorkspace(plan: PlanState): Steps {
  const survey = yield { type: 'survey' };
  if (survey.type !== 'surveyed') return;
  const names = missingDaemons(survey);
  if (names !== '' || survey.open > 0) {
    yield* writeWaitsFor(plan, names === '' ? 'open work' : `open work, answer of ${names}`);
    return;
  }
  const closed = yield { type: 'close' };
  if (closed.type !== 'closed') return;
  yield { type: 'write', plan: { ...plan, phase: 'done', waitsFor: '', closing: closed.closing } };
}

/**
 * Takes a plan one step further.
 * @param view - the plan and what is known beside it
 * @returns the procedure; every step may be repeated by another executor
 */
export function* advance(view: PlanView): Steps {
  const { plan } = view;
  if (plan.paused) return;
  if (plan.phase === 'declared') yield* arm(plan);
  else if (plan.phase === 'armed' && isDue(view)) yield* accept(view);
  else if (plan.phase === 'leaving') {
    if (plan.document.kind === 'upstream') yield* drainUpstream(view);
    else yield* closeWorkspace(plan);
  } else if (plan.phase === 'ordering') yield* sendNextOrder(view);
}
