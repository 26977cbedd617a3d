/** Decides the next steps of a plan; the executor may fail between any two commands. */
import type { Procedure } from '../kernel/index.js';
import type { OrderKind } from './document.js';
import type { PlanOrder, PlanPhase, PlanState } from './state.js';

/** Time after the recording of an intent within which its order may be sent, in milliseconds. */
export const ORDER_SEND_TIMEOUT_MS = 2_000;

/** Wait after which an order of an earlier executor can no longer arrive, in milliseconds. */
export const EARLIER_EXECUTOR_WAIT_MS = 2 * ORDER_SEND_TIMEOUT_MS;

/** Time after acceptance from which no daemon dispatches to the upstream, in milliseconds. */
export const DISPATCH_STOP_MS = 3_000;

/** An order as sent to an upstream. */
export interface UpstreamOrder {
  /** Plan name and position of the order; unique among all orders. */
  readonly id: string;
  readonly order: OrderKind;
  readonly fence: number;
}

/** Commands that the procedure yields to its executor. */
export type PlanCommand =
  /** Ask every listed daemon whether it knows the plan, and for its open requests. */
  | { readonly type: 'survey' }
  /** Read the open requests and the executed orders from the upstream. */
  | { readonly type: 'inspect' }
  /** Allocate the next fencing number of the upstream. */
  | { readonly type: 'fence' }
  /** Send the fencing number to the upstream, which then rejects lower ones. */
  | { readonly type: 'present'; readonly fence: number }
  /** Write the plan unless another writer has changed it. */
  | { readonly type: 'write'; readonly plan: PlanState }
  | { readonly type: 'send'; readonly order: UpstreamOrder }
  | { readonly type: 'wait'; readonly ms: number }
  /** Write the closing statement of the workspace. */
  | { readonly type: 'close' };

/** Combined answers of the daemons to a survey. */
export interface Survey {
  readonly type: 'surveyed';
  /** Daemons that did not answer or could not be asked. */
  readonly unreachable: readonly string[];
  /** Daemons that know neither this version of the plan nor a newer one. */
  readonly unaware: readonly string[];
  /** Open requests for the upstream or workspace of the plan, plus charges not yet in the store. */
  readonly open: number;
}

/** Result of a command. */
export type PlanEvent =
  | Survey
  | { readonly type: 'done' }
  /** Another executor or an operator wrote first, or the command failed or has an unknown outcome. */
  | { readonly type: 'stopped' }
  | { readonly type: 'fenced'; readonly fence: number }
  | {
      readonly type: 'inspected';
      /** Open requests at the upstream; null if it does not report them. */
      readonly open: number | null;
      /** Ids of the orders that it has executed. */
      readonly orders: readonly string[];
    }
  | { readonly type: 'closed'; readonly closing: PlanState['closing'] };

/** Input of the decisions: the plan and the current circumstances. */
export interface PlanView {
  readonly plan: PlanState;
  /** Current time in milliseconds since the epoch. */
  readonly wall: number;
  /** Milliseconds since this executor first saw the plan accepted. */
  readonly acceptedForMs: number;
  /** Whether the upstream rejects orders with a lower fencing number than it has received. */
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
  // A daemon that does not answer stops dispatching within DISPATCH_STOP_MS after acceptance. From then
  // on, an upstream that reports no open requests has none left from that daemon either.
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

/**
 * Ensures that no order of an earlier executor can arrive any more: by the fencing number, or, if the
 * upstream does not check it, by waiting. Returns whether that succeeded.
 */
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
 * Advances a plan by one step.
 * @param view - the plan and the current circumstances
 * @returns the procedure; another executor may repeat every step
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
