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
const WITHHELD: SendOutcome = { kind: 'withheld' };
const NOT_RUN: SendOutcome = { kind: 'not-run', status: 503 };
const FAILED: SendOutcome = { kind: 'failed', status: 500 };
const LOST: SendOutcome = { kind: 'lost', why: 'reset' };
const CUT: SendOutcome = { kind: 'cut', why: 'reset', isStream: true };
const CUT_PLAIN: SendOutcome = { kind: 'cut', why: 'reset', isStream: false };
const LEFT: SendOutcome = { kind: 'left' };
const TIMEOUT: SendOutcome = { kind: 'timeout' };

interface Row {
  readonly title: string;
  readonly input: ServeInput;
  readonly outcomes: readonly SendOutcome[];
  /** Kind of the expected outcome and, for answers of the router itself, the failure code. */
  readonly end: string;
  /** Expected number of attempts. */
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
    title: 'a non-idempotent request of which no byte was sent goes to another upstream',
    input: ONCE,
    outcomes: [UNSENT, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'a non-idempotent request that has not run goes to another upstream within its attempts',
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
    title: 'an idempotent request goes to another upstream after a failure',
    input: SAFE,
    outcomes: [FAILED, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'an idempotent request that may have run is not reported as not run',
    input: SAFE,
    outcomes: [LOST, NOT_RUN],
    end: 'failed upstream-lost',
    sends: 2,
  },
  {
    title: 'an idempotent answer that broke off is not repeated after its first part',
    input: SAFE,
    outcomes: [CUT],
    end: 'cut',
    sends: 1,
  },
  {
    title: 'a stream that broke off is not repeated',
    input: STREAM,
    outcomes: [CUT],
    end: 'cut',
    sends: 1,
  },
  {
    title: 'a resumable stream is resumed at another upstream',
    input: RESUMABLE,
    outcomes: [CUT, RELAYED],
    end: 'relayed',
    sends: 2,
  },
  {
    title: 'a resumable stream that cannot be resumed is cut',
    input: RESUMABLE,
    outcomes: [CUT, NOT_RUN],
    end: 'cut',
    sends: 2,
  },
  {
    title:
      'an answer that is no stream is not continued, although the route allows to resume streams',
    input: RESUMABLE,
    outcomes: [CUT_PLAIN],
    end: 'cut',
    sends: 1,
  },
  { title: 'a caller that disconnects', input: SAFE, outcomes: [LEFT], end: 'left', sends: 1 },
  {
    title: 'a request that timed out may have run',
    input: SAFE,
    outcomes: [TIMEOUT],
    end: 'failed timed-out',
    sends: 1,
  },
  {
    title: 'a request that four upstreams do not accept a connection for is refused as not run',
    input: ONCE,
    outcomes: [UNSENT, UNSENT, UNSENT, UNSENT],
    end: 'refused upstream-unavailable',
    sends: 4,
  },
  {
    title: 'a request that is withheld from every upstream tried so far goes to the next one',
    input: { ...ONCE, maxAttempts: 1 },
    outcomes: [WITHHELD, WITHHELD, WITHHELD, WITHHELD, WITHHELD, RELAYED],
    end: 'relayed',
    sends: 6,
  },
  {
    title: 'a resumption that is withheld from one upstream goes to the next one',
    input: { ...RESUMABLE, maxAttempts: 2 },
    outcomes: [CUT, WITHHELD, RELAYED],
    end: 'relayed',
    sends: 3,
  },
  {
    title: 'a request that was withheld after it may have run is not reported as not run',
    input: { ...SAFE, maxAttempts: 2 },
    outcomes: [LOST, WITHHELD, NOT_RUN],
    end: 'failed upstream-lost',
    sends: 3,
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

test('a request whose units cannot be reserved is refused before it is placed', (t) => {
  const procedure = serveCall({ ...STREAM, isPrepaid: true });
  t.deepEqual(procedure.next().value, { type: 'reserve' });
  const refusal = failure('budget-exhausted', 'w');
  t.deepEqual(procedure.next({ type: 'refused', refusal }), {
    done: true,
    value: { kind: 'refused', refusal, attempts: 0 },
  });
});

test('a request whose caller disconnects while it waits for units ends before it is placed', (t) => {
  const procedure = serveCall({ ...STREAM, isPrepaid: true });
  procedure.next();
  t.deepEqual(procedure.next({ type: 'left' }), {
    done: true,
    value: { kind: 'left', attempts: 0 },
  });
});

test('a request whose caller disconnects after a failed attempt ends before the next attempt', (t) => {
  const procedure = serveCall(SAFE);
  procedure.next();
  procedure.next({ type: 'placed', upstream: upstream(1) });
  t.like(procedure.next({ type: 'sent', outcome: FAILED }).value, { type: 'place' });
  t.deepEqual(procedure.next({ type: 'left' }), {
    done: true,
    value: { kind: 'left', attempts: 1 },
  });
});

test('upstreams that were tried are excluded from the next placement', (t) => {
  const procedure = serveCall(SAFE);
  procedure.next();
  procedure.next({ type: 'placed', upstream: upstream(1) });
  t.deepEqual(procedure.next({ type: 'sent', outcome: FAILED }).value, {
    type: 'place',
    excluded: ['u1'],
    isRepeat: true,
  });
});
