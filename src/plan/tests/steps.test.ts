import test from 'ava';

import { advance, declarePlan, DISPATCH_STOP_MS } from '../index.js';

import type { PlanCommand, PlanEvent, PlanPhase, PlanState, PlanView } from '../index.js';

const DOCUMENT = { kind: 'upstream', name: 'p', upstream: 'engine-1', orders: ['unload'] } as const;

interface Setting {
  readonly phase: PlanPhase;
  readonly started?: boolean;
  readonly paused?: boolean;
  readonly order?: PlanState['orders'][number]['state'];
  readonly checks?: boolean;
  readonly acceptedForMs?: number;
}

function viewOf(setting: Setting): PlanView {
  const { phase, started = false, paused = false, order = 'pending' } = setting;
  const orders = [{ order: 'unload', state: order, fence: 0 }] as const;
  const plan = { ...declarePlan(DOCUMENT, 'entry-1~a'), phase, started, paused, orders };
  const { acceptedForMs = 0, checks = false } = setting;
  return { plan, wall: 5, acceptedForMs, checksFencing: checks };
}

/** Formats a command with the fields that the tests compare. */
function label(command: PlanCommand): string {
  if (command.type !== 'write') return command.type;
  const { phase, orders } = command.plan;
  return `write ${phase} ${orders[0]?.state ?? ''}`;
}

function run(view: PlanView, answers: readonly PlanEvent[]): readonly string[] {
  const steps = advance(view);
  const seen: string[] = [];
  let index = 0;
  for (let step = steps.next(); !step.done; index += 1) {
    seen.push(label(step.value));
    step = steps.next(answers[index] ?? { type: 'stopped' });
  }
  return seen;
}

function surveyed(open: number, unreachable: string[] = [], unaware: string[] = []): PlanEvent {
  return { type: 'surveyed', open, unreachable, unaware };
}

const DONE: PlanEvent = { type: 'done' };
const FENCED: PlanEvent = { type: 'fenced', fence: 4 };

function inspected(open: number | null, orders: readonly string[] = []): PlanEvent {
  return { type: 'inspected', open, orders };
}

const CASES: readonly {
  readonly name: string;
  readonly setting: Setting;
  readonly answers: readonly PlanEvent[];
  readonly seen: readonly string[];
}[] = [
  {
    name: 'a declared plan is armed when every daemon knows it',
    setting: { phase: 'declared' },
    answers: [surveyed(3), DONE],
    seen: ['survey', 'write armed pending'],
  },
  {
    name: 'a plan is not armed while a daemon does not answer',
    setting: { phase: 'declared' },
    answers: [surveyed(0, ['entry-2']), DONE],
    seen: ['survey', 'write declared pending'],
  },
  {
    name: 'a started plan is not accepted before every daemon knows it',
    setting: { phase: 'declared', started: true },
    answers: [surveyed(0, [], ['entry-2']), DONE],
    seen: ['survey', 'write declared pending'],
  },
  {
    name: 'an armed plan that is not started does nothing',
    setting: { phase: 'armed' },
    answers: [],
    seen: [],
  },
  {
    name: 'an armed plan is accepted after it is started',
    setting: { phase: 'armed', started: true },
    answers: [DONE],
    seen: ['write leaving pending'],
  },
  {
    name: 'a paused plan does nothing',
    setting: { phase: 'armed', started: true, paused: true },
    answers: [],
    seen: [],
  },
  {
    name: 'orders begin after all open requests have ended',
    setting: { phase: 'leaving' },
    answers: [surveyed(0), DONE],
    seen: ['survey', 'write ordering pending'],
  },
  {
    name: 'the plan stays in its phase while requests are open',
    setting: { phase: 'leaving' },
    answers: [surveyed(2), DONE],
    seen: ['survey', 'write leaving pending'],
  },
  {
    name: 'a daemon does not answer, before dispatching has certainly stopped',
    setting: { phase: 'leaving', acceptedForMs: DISPATCH_STOP_MS },
    answers: [surveyed(0, ['entry-2']), DONE],
    seen: ['survey', 'write leaving pending'],
  },
  {
    name: 'a daemon does not answer, and the upstream reports no open requests',
    setting: { phase: 'leaving', acceptedForMs: DISPATCH_STOP_MS + 1 },
    answers: [surveyed(0, ['entry-2']), inspected(0), DONE],
    seen: ['survey', 'inspect', 'write ordering pending'],
  },
  {
    name: 'a daemon does not answer, and the upstream does not report its open requests',
    setting: { phase: 'leaving', acceptedForMs: DISPATCH_STOP_MS + 1 },
    answers: [surveyed(0, ['entry-2']), inspected(null), DONE],
    seen: ['survey', 'inspect', 'write leaving pending'],
  },
  {
    name: 'an order is recorded, sent and confirmed by the upstream',
    setting: { phase: 'ordering' },
    answers: [FENCED, DONE, DONE, inspected(0, ['p/0']), DONE],
    seen: ['fence', 'write ordering intended', 'send', 'inspect', 'write ordering confirmed'],
  },
  {
    name: 'an order is not sent if its intent could not be recorded',
    setting: { phase: 'ordering' },
    answers: [FENCED, { type: 'stopped' }],
    seen: ['fence', 'write ordering intended'],
  },
  {
    name: 'an order of an earlier executor that has arrived is not sent again',
    setting: { phase: 'ordering', order: 'intended' },
    answers: [FENCED, DONE, inspected(0, ['p/0']), DONE],
    seen: ['fence', 'wait', 'inspect', 'write ordering confirmed'],
  },
  {
    name: 'the fencing number shuts out an earlier executor before the upstream is read',
    setting: { phase: 'ordering', order: 'intended', checks: true },
    answers: [FENCED, DONE, inspected(0), DONE, DONE, inspected(0, ['p/0']), DONE],
    seen: [
      'fence',
      'present',
      'inspect',
      'write ordering intended',
      'send',
      'inspect',
      'write ordering confirmed',
    ],
  },
  {
    name: 'an order is not sent again if the upstream cannot be read',
    setting: { phase: 'ordering', order: 'intended' },
    answers: [FENCED, DONE, { type: 'stopped' }],
    seen: ['fence', 'wait', 'inspect'],
  },
  {
    name: 'the plan is done when every order is confirmed',
    setting: { phase: 'ordering', order: 'confirmed' },
    answers: [DONE],
    seen: ['write done confirmed'],
  },
];

CASES.forEach(({ name, setting, answers, seen }) => {
  test(`steps of an upstream plan: ${name}`, (t) => {
    t.deepEqual(run(viewOf(setting), answers), seen);
  });
});
