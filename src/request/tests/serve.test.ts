import test from 'ava';

import { failure } from '../../kernel/index.js';
import { serve } from '../serve.js';

import type { ServeCommand, ServeEvent, ServeOutcome, ServeRequest } from '../serve.js';

const REQUEST: ServeRequest = { worstCase: 100, idempotent: true, retries: 1 };
const DONE: ServeEvent = { type: 'done' };
const CHOSEN: ServeEvent = { type: 'chosen', upstream: 'u' };
const NOT_RUN: ServeEvent = { type: 'failed', fail: failure('upstream-unavailable', 'u') };
const MAY_RUN: ServeEvent = { type: 'failed', fail: failure('outcome-unknown', 'u', 'unknown') };

interface Run {
  readonly commands: readonly ServeCommand['type'][];
  readonly outcome: ServeOutcome | undefined;
}

function run(req: ServeRequest, events: readonly ServeEvent[]): Run {
  const procedure = serve(req);
  const commands: ServeCommand['type'][] = [];
  let step = procedure.next();
  events.forEach((event) => {
    if (step.done) return;
    commands.push(step.value.type);
    step = procedure.next(event);
  });
  return { commands, outcome: step.done ? step.value : undefined };
}

const ROWS = [
  {
    title: 'an answered request is charged the units that it used',
    req: REQUEST,
    events: [DONE, CHOSEN, DONE, { type: 'answered', units: 40 } as const, DONE],
    commands: ['reserve', 'choose', 'dispatch', 'relay', 'record'],
    outcome: { type: 'whole', units: 40 },
  },
  {
    title: 'a charge never exceeds the reservation',
    req: REQUEST,
    events: [DONE, CHOSEN, DONE, { type: 'answered', units: 140 } as const, DONE],
    commands: ['reserve', 'choose', 'dispatch', 'relay', 'record'],
    outcome: { type: 'whole', units: 100 },
  },
  {
    title: 'a request is not dispatched if its reservation is refused',
    req: REQUEST,
    events: [{ type: 'failed', fail: failure('budget-exhausted', 'b') } as const],
    commands: ['reserve'],
    outcome: { type: 'refused', fail: failure('budget-exhausted', 'b') },
  },
  {
    title:
      'a non-idempotent request is claimed before dispatch, and not retried if it may have run',
    req: { ...REQUEST, idempotent: false },
    events: [DONE, DONE, CHOSEN, MAY_RUN, DONE],
    commands: ['reserve', 'claim', 'choose', 'dispatch', 'release'],
    outcome: { type: 'refused', fail: failure('outcome-unknown', 'u', 'unknown') },
  },
  {
    title: 'a "not-run" failure never hides an earlier attempt that may have run',
    req: REQUEST,
    events: [DONE, CHOSEN, MAY_RUN, NOT_RUN, DONE],
    commands: ['reserve', 'choose', 'dispatch', 'choose', 'release'],
    outcome: { type: 'refused', fail: failure('outcome-unknown', 'u', 'unknown') },
  },
] as const;

ROWS.forEach((row) => {
  test(`serve: ${row.title}`, (t) => {
    const result = run(row.req, row.events);
    t.deepEqual(result.commands, row.commands);
    t.deepEqual(result.outcome, row.outcome);
  });
});
