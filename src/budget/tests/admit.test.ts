import test from 'ava';

import { admit } from '../admit.js';

import type { AdmitCommand, AdmitEvent, AdmitOutcome } from '../admit.js';

const REQ = { budget: 'b', worstCase: 100 };

const RESERVED: AdmitEvent = { type: 'reserved', low: false };
const LOW: AdmitEvent = { type: 'reserved', low: true };
const SHORT: AdmitEvent = { type: 'short', missing: 60 };
const DRAWN: AdmitEvent = { type: 'drawn', left: 0 };
const UNREACHABLE: AdmitEvent = { type: 'unreachable' };
const LATE: AdmitEvent = { type: 'late' };
const HOLDERS: AdmitEvent = { type: 'holders', holders: ['x', 'y'] };
const NO_HOLDERS: AdmitEvent = { type: 'holders', holders: [] };
const LENT: AdmitEvent = { type: 'lent', units: 60, left: 10 };
const NOTHING: AdmitEvent = { type: 'lent', units: 0, left: 0 };

interface Run {
  readonly commands: readonly AdmitCommand['type'][];
  readonly end: string;
}

function endOf(outcome: AdmitOutcome | undefined): string {
  if (!outcome) return 'running';
  return outcome.type === 'admitted' ? 'admitted' : outcome.fail.code;
}

function run(events: readonly AdmitEvent[]): Run {
  const procedure = admit(REQ);
  const commands: AdmitCommand['type'][] = [];
  let step = procedure.next();
  events.forEach((event) => {
    if (step.done) return;
    commands.push(step.value.type);
    step = procedure.next(event);
  });
  return { commands, end: endOf(step.done ? step.value : undefined) };
}

const ROWS = [
  { title: 'available units are reserved without a message', events: [RESERVED], end: 'admitted' },
  {
    title: 'a background refill starts when units run low',
    events: [LOW, { type: 'started' } as const],
    commands: ['reserve', 'prefetch'],
    end: 'admitted',
  },
  {
    title: 'units are drawn from the store before peers are asked',
    events: [SHORT, DRAWN, RESERVED],
    commands: ['reserve', 'draw', 'reserve'],
    end: 'admitted',
  },
  {
    title: 'a peer lends while the store is unreachable',
    events: [SHORT, UNREACHABLE, SHORT, HOLDERS, SHORT, LENT, RESERVED],
    commands: ['reserve', 'draw', 'reserve', 'holders', 'reserve', 'borrow', 'reserve'],
    end: 'admitted',
  },
  {
    title: 'exhausted if neither the store nor any holder has units',
    events: [SHORT, DRAWN, SHORT, HOLDERS, SHORT, NOTHING, SHORT, NOTHING, SHORT, SHORT],
    end: 'budget-exhausted',
  },
  {
    title: 'unreachable if the store did not answer',
    events: [SHORT, UNREACHABLE, SHORT, HOLDERS, SHORT, NOTHING, SHORT, NOTHING, SHORT, SHORT],
    end: 'budget-unreachable',
  },
  {
    title: 'unreachable if one holder did not answer',
    events: [SHORT, DRAWN, SHORT, HOLDERS, SHORT, NOTHING, SHORT, UNREACHABLE, SHORT, SHORT],
    end: 'budget-unreachable',
  },
  {
    title: 'unreachable once the deadline has passed',
    events: [SHORT, DRAWN, SHORT, HOLDERS, SHORT, LATE, SHORT],
    end: 'budget-unreachable',
  },
  {
    title: 'another round while a holder has units that it did not lend',
    events: [
      SHORT,
      DRAWN,
      SHORT,
      HOLDERS,
      SHORT,
      { type: 'lent', units: 0, left: 70 } as const,
      SHORT,
      NOTHING,
      SHORT,
      SHORT,
      DRAWN,
      RESERVED,
    ],
    end: 'admitted',
  },
  {
    title: 'unreachable if the store has units in every round that are not obtained',
    events: Array.from({ length: 4 }).flatMap((_, index) => [
      ...(index === 0 ? [SHORT] : []),
      { type: 'drawn', left: 60 } as const,
      SHORT,
      NO_HOLDERS,
      SHORT,
      SHORT,
    ]),
    end: 'budget-unreachable',
  },
];

ROWS.forEach((row) => {
  test(`admit: ${row.title}`, (t) => {
    const result = run(row.events);
    t.is(result.end, row.end);
    if (row.commands) t.deepEqual(result.commands, row.commands);
  });
});
