import test from 'ava';

import { failure } from '../../kernel/index.js';
import { serveCall } from '../serve.js';

import type { SendOutcome, ServeEvent, ServeInput, ServeOutcome } from '../serve.js';
import type { UpstreamRecord } from '../upstreams.js';

const SAFE: ServeInput = {
  repeatability: 'idempotent',
  resumable: false,
  maxAttempts: 2,
  isPrepaid: false,
};
const ONCE: ServeInput = { ...SAFE, repeatability: 'once' };
const STREAM: ServeInput = { ...SAFE, repeatability: 'stream' };
const RESUMABLE: ServeInput = { ...STREAM, resumable: true };

const RELAYED: SendOutcome = { kind: 'relayed', status: 200, ending: 'open' };
const UNSENT: SendOutcome = { kind: 'unsent', why: 'refused' };
const NOT_RUN: SendOutcome = { kind: 'not-run', status: 503 };
const FAILED: SendOutcome = { kind: 'failed', status: 500 };
const LOST: SendOutcome = { kind: 'lost', why: 'reset' };
const CUT: SendOutcome = { kind: 'cut', why: 'reset' };
const LEFT: SendOutcome = { kind: 'left' };
const TIMEOUT: SendOutcome = { kind: 'timeout' };

interface Row {
  readonly title: string;
  readonly input: ServeInput;
  readonly outcomes: readonly SendOutcome[];
  /** End and, for answers of the router's own, their code. */
  readonly end: string;
  readonly sends: number;
}

const ROWS: readonly Row[] = [
  { title: 'an answer', input: ONCE, outcomes: [RELAYED], end: 'relayed', sends: 1 },
  {
    title: 'a non-idempotent request that may have run is never sent again',
    input: ONCE,
    outcomes: [LOST],
    end: 'failed upstream-lost',
    sends: 1,
  },
  {
    title: 'a non-idempotent request that left no byte goes elsewhere',
    input: ONCE,
    outcomes: [UNSENT, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'a non-idempotent request that has not run goes elsewhere within its attempts',
    input: ONCE,
    outcomes: [NOT_RUN, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'with one attempt, "not run" is passed on at once',
    input: { ...ONCE, maxAttempts: 1 },
    outcomes: [NOT_RUN],
    end: 'refused upstream-unavailable',
    sends: 1,
  },
  {
    title: 'an idempotent request goes elsewhere after a failure',
    input: SAFE,
    outcomes: [FAILED, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'an idempotent request that may have run is not said not to have run',
    input: SAFE,
    outcomes: [LOST, NOT_RUN],
    end: 'failed upstream-lost',
    sends: 2,
  },
  {
    title: 'an idempotent answer that broke off is not repeated behind its first part',
    input: SAFE,
    outcomes: [CUT],
    end: 'cut',
    sends: 1,
  },
  { title: 'a stream is treated like once', input: STREAM, outcomes: [CUT], end: 'cut', sends: 1 },
  {
    title: 'a resumable stream goes on elsewhere',
    input: RESUMABLE,
    outcomes: [CUT, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'a resumable stream that cannot go on is cut',
    input: RESUMABLE,
    outcomes: [CUT, NOT_RUN],
    end: 'cut',
    sends: 2,
  },
  { title: 'a caller that leaves', input: SAFE, outcomes: [LEFT], end: 'left', sends: 1 },
  {
    title: 'a time-out may have run',
    input: SAFE,
    outcomes: [TIMEOUT],
    end: 'failed timed-out',
    sends: 1,
  },
  {
    title: 'connections that never open end after four upstreams, as not run',
    input: ONCE,
    outcomes: [UNSENT, UNSENT, UNSENT, UNSENT],
    end: 'refused upstream-unavailable',
    sends: 4,
  },
];

function upstream(index: number): UpstreamRecord {
  const fixed = { startedAt: 0, service: 's', address: '', dataCentre: '', capacity: 1 };
  return { ...fixed, id: `u${index}`, isLeaving: false, warmupMs: 0 };
}

function runProcedure(input: ServeInput, outcomes: readonly SendOutcome[]): [ServeOutcome, number] {
  const procedure = serveCall(input);
  let sends = 0;
  let step = procedure.next();
  while (!step.done) {
    let event: ServeEvent;
    if (step.value.type === 'reserve') event = { type: 'reserved' };
    else if (step.value.type === 'place') event = { type: 'placed', upstream: upstream(sends) };
    else {
      event = { type: 'sent', outcome: outcomes[sends] ?? LEFT };
      sends += 1;
    }
    step = procedure.next(event);
  }
  return [step.value, sends];
}

ROWS.forEach(({ title, input, outcomes, end, sends }) => {
  test(title, (t) => {
    const [outcome, count] = runProcedure(input, outcomes);
    const code = 'refusal' in outcome ? ` ${outcome.refusal.code}` : '';
    t.is(`${outcome.kind}${code}`, end);
    t.is(count, sends);
  });
});

test('a request whose units cannot be had is refused before it is placed', (t) => {
  const procedure = serveCall({ ...STREAM, isPrepaid: true });
  t.deepEqual(procedure.next().value, { type: 'reserve' });
  const refusal = failure('budget-exhausted', 'w');
  t.deepEqual(procedure.next({ type: 'refused', refusal }), {
    done: true,
    value: { kind: 'refused', refusal, attempts: 0 },
  });
});

test('a caller that left while its request waited for units ends it before it is placed', (t) => {
  const procedure = serveCall({ ...STREAM, isPrepaid: true });
  procedure.next();
  t.deepEqual(procedure.next({ type: 'left' }), {
    done: true,
    value: { kind: 'left', attempts: 0 },
  });
});

test('a caller that left after a failed attempt ends its request before the next one', (t) => {
  const procedure = serveCall(SAFE);
  procedure.next();
  procedure.next({ type: 'placed', upstream: upstream(1) });
  t.like(procedure.next({ type: 'sent', outcome: FAILED }).value, { type: 'place' });
  t.deepEqual(procedure.next({ type: 'left' }), {
    done: true,
    value: { kind: 'left', attempts: 1 },
  });
});

test('upstreams that were tried are left out of the next choice', (t) => {
  const procedure = serveCall(SAFE);
  procedure.next();
  procedure.next({ type: 'placed', upstream: upstream(1) });
  t.deepEqual(procedure.next({ type: 'sent', outcome: FAILED }).value, {
    type: 'place',
    excluded: ['u1'],
    isRepeat: true,
  });
});
