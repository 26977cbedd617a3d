import test from 'ava';

import {
  CrashSuspects,
  decodeCrashRecord,
  encodeCrashRecord,
  NO_CRASHES,
  sharedPartsOf,
} from '../index.js';

import type { Verdict } from '../index.js';

/** Something that a daemon sees: an answer to parts, or a crash with unanswered prompts. */
type Step =
  | { readonly at: number; readonly answered: readonly string[] }
  | {
      readonly at: number;
      readonly crashed: string;
      readonly prompts: readonly (readonly string[])[];
      /** When the requests were sent, in milliseconds; 100 ms before the crash if it is left out. */
      readonly sentAt?: number;
    };

interface Row {
  readonly title: string;
  readonly steps: readonly Step[];
  readonly request: readonly string[];
  /** When the request comes, in milliseconds. */
  readonly at: number;
  readonly verdict: Verdict['kind'];
}

const crash = (at: number, crashed: string, ...prompts: readonly (readonly string[])[]): Step => ({
  at,
  crashed,
  prompts,
});

const TWICE = [crash(1_000, 'u1', ['a', 'x']), crash(3_000, 'u2', ['b', 'x'])];
const INSEPARABLE = [crash(1_000, 'u1', ['a', 'x']), crash(3_000, 'u2', ['a', 'x'])];

const ROWS: readonly Row[] = [
  {
    title: 'one crash rejects nothing',
    steps: [crash(1_000, 'u1', ['x'])],
    request: ['x'],
    at: 2_000,
    verdict: 'send',
  },
  {
    title: 'a part that was unanswered in two crashes is rejected',
    steps: TWICE,
    request: ['c', 'x'],
    at: 4_000,
    verdict: 'reject',
  },
  {
    title: 'parts that were in one of the crashes each are sent',
    steps: TWICE,
    request: ['a', 'b'],
    at: 4_000,
    verdict: 'send',
  },
  {
    title: 'two crashes do not reject a part that was answered shortly before',
    steps: [{ at: 500, answered: ['x'] }, ...TWICE],
    request: ['x'],
    at: 4_000,
    verdict: 'send',
  },
  {
    title: 'three crashes reject a part that was answered shortly before',
    steps: [{ at: 500, answered: ['x'] }, ...TWICE, crash(4_000, 'u3', ['x'])],
    request: ['x'],
    at: 5_000,
    verdict: 'reject',
  },
  {
    title: 'an answer between the crashes clears a part',
    steps: [TWICE[0] as Step, { at: 2_000, answered: ['x'] }, TWICE[1] as Step],
    request: ['x'],
    at: 4_000,
    verdict: 'send',
  },
  {
    title: 'an answer after the crashes clears a part',
    steps: [...TWICE, { at: 3_500, answered: ['x'] }],
    request: ['x'],
    at: 4_000,
    verdict: 'send',
  },
  {
    title: 'upstreams that crash together count as one crash',
    steps: [1_000, 1_200, 1_400].map((at) => ({
      at,
      crashed: `u${at}`,
      prompts: [['x']],
      sentAt: 900,
    })),
    request: ['x'],
    at: 2_000,
    verdict: 'send',
  },
  {
    title: 'a request that was sent after the first crash makes the second one another',
    steps: [
      crash(1_000, 'u1', ['x']),
      { at: 1_200, crashed: 'u2', prompts: [['x']], sentAt: 1_010 },
    ],
    request: ['x'],
    at: 2_000,
    verdict: 'reject',
  },
  {
    title: 'inseparable parts are rejected together',
    steps: INSEPARABLE,
    request: ['a', 'x', 'c'],
    at: 4_000,
    verdict: 'reject',
  },
  {
    title: 'one of two inseparable parts is sent, which tells them apart',
    steps: INSEPARABLE,
    request: ['a', 'c'],
    at: 4_000,
    verdict: 'send',
  },
  {
    title: 'one of two inseparable parts is rejected alone once the other was answered',
    steps: [...INSEPARABLE, { at: 3_500, answered: ['a'] }],
    request: ['x'],
    at: 4_000,
    verdict: 'reject',
  },
  {
    title: 'one of two inseparable parts is rejected alone once it crashed without the other',
    steps: [...INSEPARABLE, crash(5_000, 'u3', ['x'])],
    request: ['x'],
    at: 6_000,
    verdict: 'reject',
  },
  {
    title: 'a part whose crashes another part explains is sent',
    steps: [...INSEPARABLE, crash(5_000, 'u3', ['x'])],
    request: ['a'],
    at: 6_000,
    verdict: 'send',
  },
  {
    title: 'a part of other requests on the same upstreams is rejected until it is explained',
    steps: [crash(1_000, 'u1', ['x'], ['y']), crash(3_000, 'u2', ['x'], ['y'])],
    request: ['y'],
    at: 4_000,
    verdict: 'reject',
  },
  {
    title: 'a part of other requests on the same upstreams is sent once it is explained',
    steps: [
      crash(1_000, 'u1', ['x'], ['y']),
      crash(3_000, 'u2', ['x'], ['y']),
      crash(5_000, 'u3', ['x']),
    ],
    request: ['y'],
    at: 6_000,
    verdict: 'send',
  },
  {
    title: 'a second deadly part is rejected too',
    steps: [...TWICE, crash(5_000, 'u3', ['a', 'z']), crash(7_000, 'u4', ['b', 'z'])],
    request: ['z'],
    at: 8_000,
    verdict: 'reject',
  },
  {
    title: 'no trial is due 14.9 s after the last crash',
    steps: TWICE,
    request: ['x'],
    at: 17_900,
    verdict: 'reject',
  },
  {
    title: 'a trial is due 15 s after the last crash',
    steps: TWICE,
    request: ['x'],
    at: 18_000,
    verdict: 'trial',
  },
  {
    title: 'a single crash is forgotten after ten minutes',
    steps: [TWICE[0] as Step, crash(620_000, 'u2', ['b', 'x'])],
    request: ['x'],
    at: 621_000,
    verdict: 'send',
  },
];

function play(steps: readonly Step[], suspects = new CrashSuspects()): CrashSuspects {
  steps.forEach((step) => {
    if ('answered' in step) {
      suspects.noteAnswer(step.answered, step.at);
      return;
    }
    const { at, crashed, prompts, sentAt = at - 100 } = step;
    const unanswered = prompts.map((parts) => ({ parts, sentAt }));
    suspects.noteCrash(crashed, at, unanswered, at);
  });
  return suspects;
}

/** Lets one daemon read what another one writes. */
function share(from: CrashSuspects, to: CrashSuspects, now: number, tried: readonly string[] = []) {
  const written = encodeCrashRecord(from.recordToWrite(now, tried), now);
  const stored = decodeCrashRecord(JSON.parse(JSON.stringify(written)), now);
  if (!stored) throw new Error('the record cannot be decoded');
  from.noteShared(now);
  [from, to].forEach((daemon) => daemon.applyShared(stored, now));
}

ROWS.forEach(({ title, steps, request, at, verdict }) => {
  test(title, (t) => {
    t.is(play(steps).verdict(request, at).kind, verdict);
  });

  test(`${title}, also for a daemon that only reads the record`, (t) => {
    const last = Math.max(...steps.map((step) => step.at));
    const reader = new CrashSuspects();
    share(play(steps), reader, last);
    t.is(reader.verdict(request, at).kind, verdict);
  });
});

test('crashes that two daemons saw one each reject a part at both', (t) => {
  const [first, second] = [play([TWICE[0] as Step]), play([TWICE[1] as Step])];
  share(first, second, 3_500);
  share(second, first, 3_600);
  [first, second].forEach((daemon) => t.is(daemon.verdict(['x'], 4_000).kind, 'reject'));
});

test('a daemon that saw an answer since corrects the record, and the others follow', (t) => {
  const accuser = play(TWICE);
  const witness = play([{ at: 3_200, answered: ['x'] }]);
  share(accuser, witness, 3_100);
  witness.noteAnswer(['x'], 3_300);
  t.is(witness.verdict(['x'], 3_400).kind, 'send');
  t.true(witness.contradictsShared);
  share(witness, accuser, 3_500);
  t.is(accuser.verdict(['x'], 3_600).kind, 'send');
  t.false(witness.contradictsShared);
});

test('the time to the next trial grows with each trial', (t) => {
  const [first, second] = [play(TWICE), new CrashSuspects()];
  share(first, second, 18_000, ['x']);
  [first, second].forEach((daemon) => {
    t.is(daemon.verdict(['x'], 18_001).kind, 'reject');
    t.is(daemon.verdict(['x'], 77_999).kind, 'reject');
    t.is(daemon.verdict(['x'], 78_000).kind, 'trial');
  });
});

test('a crash during the write of a record is not taken as shared', (t) => {
  const suspects = play([TWICE[0] as Step]);
  suspects.recordToWrite(2_000);
  play([TWICE[1] as Step], suspects);
  suspects.noteShared(3_000);
  t.true(suspects.hasUnshared);
});

test('a record that is read again later keeps the time of its first receipt', (t) => {
  const reader = new CrashSuspects();
  const stored = encodeCrashRecord(play(TWICE).recordToWrite(3_000), 3_000);
  [3_000, 17_000].forEach((now) => {
    const record = decodeCrashRecord(stored, now);
    if (record) reader.applyShared(record, now);
  });
  t.is(reader.verdict(['x'], 18_000).kind, 'trial');
});

const MALFORMED: readonly unknown[] = [
  1,
  'x',
  [],
  {},
  { reports: [{}], trials: {} },
  { reports: 1 },
];

MALFORMED.forEach((value) => {
  test(`the record ${JSON.stringify(value)} is rejected as malformed`, (t) => {
    t.is(decodeCrashRecord(value, 0), undefined);
  });
});

test('the last part of a prompt is not suspected, and no part twice', (t) => {
  const prompt = ['a', 'c', 'a', 'own'].map((id) => ({ id }));
  t.deepEqual(sharedPartsOf(prompt), ['a', 'c']);
  t.deepEqual(sharedPartsOf([]), []);
});

/** Number of parts of a prompt: about as many as the headers of a request hold. */
const LONG_PROMPT = 400;

interface LongRow {
  readonly title: string;
  /** Place of the deadly part, from 0. */
  readonly place: number;
  /** Number of parts at the beginning that all prompts have. */
  readonly common: number;
  readonly deadly: string;
  /** Whether the common parts were answered shortly before. */
  readonly isPopular: boolean;
}

const LONG_ROWS: readonly LongRow[] = [0, 16, LONG_PROMPT - 2].flatMap((place) =>
  ['deadbeef', 'deadbeef'.repeat(9)].flatMap((deadly) =>
    [0, 380].map((common) => ({
      title: `place ${place} of ${LONG_PROMPT}, ${deadly.length} characters, ${common} common parts`,
      place,
      common,
      deadly,
      isPopular: common > 0,
    })),
  ),
);

// A part that crashes upstreams must be found wherever it stands in a prompt and however long its id is.
LONG_ROWS.forEach(({ title, place, common, deadly, isPopular }) => {
  test(`a deadly part of long prompts is rejected and the other parts are sent: ${title}`, (t) => {
    const promptOf = (name: string, id?: string): readonly string[] => {
      const ids = Array.from({ length: LONG_PROMPT }, (_none, at) =>
        at < common ? `common-${at}` : `${name}-${'x'.repeat(60)}-${at}`,
      );
      if (id !== undefined) ids[place] = id;
      return sharedPartsOf(ids.map((one) => ({ id: one })));
    };
    const first = new CrashSuspects();
    const second = new CrashSuspects();
    if (isPopular) [first, second].forEach((daemon) => daemon.noteAnswer(promptOf('early'), 500));
    first.noteCrash('u1', 1_000, [{ parts: promptOf('a', deadly), sentAt: 900 }], 1_000);
    if (isPopular) first.noteAnswer(promptOf('between'), 1_100);
    share(first, second, 1_500);
    second.noteCrash('u2', 3_000, [{ parts: promptOf('b', deadly), sentAt: 2_900 }], 3_000);
    if (isPopular) second.noteAnswer(promptOf('after'), 3_100);
    share(second, first, 3_500);
    [first, second].forEach((daemon) => {
      t.is(daemon.verdict(promptOf('c', deadly), 4_000).kind, 'reject');
      t.is(daemon.verdict(promptOf('a'), 4_000).kind, 'send');
      t.is(daemon.verdict(promptOf('c'), 4_000).kind, 'send');
    });
  });
});

test('a part that was answered after a crash stays cleared while many others are answered', (t) => {
  const suspects = play([...TWICE, { at: 3_500, answered: ['x'] }]);
  const others = Array.from({ length: 40_000 }, (_none, at) => `other-${at}`);
  suspects.noteAnswer(others, 3_600);
  play([crash(4_000, 'u3', ['y'])], suspects);
  t.is(suspects.verdict(['x'], 4_100).kind, 'send');
});

/** Largest value that a store may accept, in bytes. */
const VALUE_BYTES = 1_048_576;

test('the record of a crash that 100 daemons saw with popular parts fits into the store', (t) => {
  let stored: unknown = null;
  Array.from({ length: 100 }).forEach((_daemon, daemon) => {
    const suspects = new CrashSuspects();
    const prompts = Array.from({ length: 64 }, (_prompt, prompt) => ({
      parts: Array.from({ length: 15 }, (_part, part) => `part-${daemon}-${prompt}-${part}`),
      sentAt: 900,
    }));
    prompts.forEach(({ parts }) => suspects.noteAnswer(parts, 500));
    suspects.noteCrash('u1', 1_000, prompts, 1_000);
    suspects.applyShared(decodeCrashRecord(stored, 1_000) ?? NO_CRASHES, 1_000);
    stored = encodeCrashRecord(suspects.recordToWrite(1_000), 1_000);
  });
  const bytes = JSON.stringify(stored).length;
  t.true(bytes < VALUE_BYTES, `${bytes} bytes`);
});

[-20, 0.5, 1e308].forEach((count) => {
  test(`a record with ${count} trials is malformed and allows no trial`, (t) => {
    const record = { reports: [], trials: { x: { count, ageMs: 0 } } };
    t.is(decodeCrashRecord(record, 1_000), undefined);
  });
});

test('a deadly part is rejected although the reports of its crashes exceed the size limit of the record', (t) => {
  const daemons = Array.from({ length: 6 }, () => new CrashSuspects());
  let stored: unknown = null;
  const write = (daemon: CrashSuspects, at: number): void => {
    daemon.applyShared(decodeCrashRecord(stored, at) ?? NO_CRASHES, at);
    stored = JSON.parse(JSON.stringify(encodeCrashRecord(daemon.recordToWrite(at), at)));
    daemon.applyShared(decodeCrashRecord(stored, at) ?? NO_CRASHES, at);
    daemon.noteShared(at);
    const bytes = JSON.stringify(stored).length;
    t.true(bytes < VALUE_BYTES, `${bytes} bytes`);
  };
  daemons.forEach((daemon, number) => {
    const at = 1_000 + 2_000 * number;
    const prompts = Array.from({ length: 64 }, (_prompt, prompt) => ({
      parts: Array.from({ length: 500 }, (_part, part) =>
        prompt === 40 && part === 250 ? 'deadbeef' : `p-${number}-${prompt}-${part}`,
      ),
      sentAt: at - 100,
    }));
    daemon.noteCrash(`u${number}`, at, prompts, at);
    write(daemon, at + 500);
  });
  daemons.forEach((daemon) => write(daemon, 15_000));
  const reader = new CrashSuspects();
  reader.applyShared(decodeCrashRecord(stored, 15_100) ?? NO_CRASHES, 15_100);
  [...daemons, reader].forEach((daemon) => {
    daemon.applyShared(decodeCrashRecord(stored, 15_100) ?? NO_CRASHES, 15_100);
    t.is(daemon.verdict(['other', 'deadbeef'], 15_200).kind, 'reject');
    t.is(daemon.verdict(['p-0-0-1'], 15_200).kind, 'send');
  });
});
