import test from 'ava';

import { failure } from '../../kernel/index.js';
import { newestRecord } from '../keyrecord.js';
import { KEY_RETENTION_MS, KeyTable } from '../keytable.js';
import { UNSEEN_KEY, withProvenOutcome, refuseKey } from '../keycheck.js';

import type { KeyAttempt, KeyRecord } from '../keyrecord.js';

const FIRST: KeyAttempt = { workspace: 'w', key: 'k', digest: 'd', owner: 'a~1', at: 1_000 };
const RECORD: KeyRecord = { ...FIRST, state: 'running', upstream: null };

test('key table: a second attempt receives the record of the first and replaces it', (t) => {
  const table = new KeyTable();
  t.is(table.begin(FIRST), null);
  t.deepEqual(table.begin({ ...FIRST, owner: 'b~1', at: 2_000 }), RECORD);
  table.recordProgress({
    workspace: 'w',
    key: 'k',
    owner: 'a~1',
    state: 'answered',
    upstream: null,
  });
  t.is(table.find(FIRST)?.state, 'running');
  t.is(table.find(FIRST)?.owner, 'b~1');
});

test('key table: an attempt with another body does not replace the record', (t) => {
  const table = new KeyTable();
  table.begin(FIRST);
  t.deepEqual(table.begin({ ...FIRST, digest: 'other', owner: 'b~1' }), RECORD);
  t.deepEqual(table.find(FIRST), RECORD);
});

test('key table: withdrawing an attempt restores the record before it', (t) => {
  const table = new KeyTable();
  table.begin(FIRST);
  const earlier = table.begin({ ...FIRST, owner: 'b~1', at: 2_000 });
  table.withdraw(FIRST, 'b~1', earlier);
  t.deepEqual(table.find(FIRST), RECORD);
  table.withdraw(FIRST, 'a~1', null);
  t.is(table.find(FIRST), null);
});

test('key table: expired records are removed', (t) => {
  const table = new KeyTable();
  table.begin(FIRST);
  table.begin({ ...FIRST, key: 'later', at: FIRST.at + KEY_RETENTION_MS + 1 });
  t.is(table.find(FIRST), null);
  t.is(table.size, 1);
});

test('key records: the newest of several is selected', (t) => {
  const newer = { ...RECORD, at: 3_000, state: 'cut' } as const;
  t.deepEqual(newestRecord([null, RECORD, newer, null]), newer);
  t.is(newestRecord([null]), null);
});

const NOT_RUN = failure('overloaded', 'r');

const OUTCOMES = [
  { title: 'a key without earlier attempts', findings: UNSEEN_KEY, outcome: 'not-run' },
  {
    title: 'a key with an earlier attempt',
    findings: { ...UNSEEN_KEY, earlier: RECORD },
    outcome: 'unknown',
  },
  {
    title: 'too few daemons answered',
    findings: { ...UNSEEN_KEY, certain: false },
    outcome: 'unknown',
  },
] as const;

OUTCOMES.forEach(({ title, findings, outcome }) => {
  test(`a refusal is "not-run" only if no earlier attempt can have run: ${title}`, (t) => {
    t.is(withProvenOutcome(NOT_RUN, findings).outcome, outcome);
  });
});

const VERDICTS = [
  {
    title: 'a key without earlier attempts is allowed',
    findings: UNSEEN_KEY,
    digest: 'd',
    code: undefined,
  },
  {
    title: 'another attempt is allowed after the earlier one has ended',
    findings: { ...UNSEEN_KEY, earlier: { ...RECORD, state: 'cut' } as const },
    digest: 'd',
    code: undefined,
  },
  {
    title: 'another attempt is refused while the earlier one is running',
    findings: { ...UNSEEN_KEY, earlier: RECORD, running: true },
    digest: 'd',
    code: 'key-in-progress',
  },
  {
    title: 'a key with another body is refused',
    findings: { ...UNSEEN_KEY, earlier: RECORD },
    digest: 'e',
    code: 'key-reused',
  },
] as const;

VERDICTS.forEach(({ title, findings, digest, code }) => {
  test(`key check: ${title}`, (t) => {
    const refused = refuseKey(findings, digest);
    t.is(refused?.code, code);
    t.not(refused?.outcome, 'not-run');
  });
});
