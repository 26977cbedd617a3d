import { readFile } from 'node:fs/promises';

import test from 'ava';

import { describedFields, fieldsOf } from '../../../testbed/schemafields.js';
import { formatProblem } from '../../kernel/index.js';
import { safeParseSettings, settingsSchema } from '../settings.js';

const GOOD = `instance: entry-1
dataCentre: kurume
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
platform:
  objects: http://127.0.0.1:9000
  instances: http://127.0.0.1:9001
fleetKey: 0123456789abcdef
operatorKey: 0123456789abcdef
`;

test('settings: accepts a valid file and applies defaults', (t) => {
  const parsed = safeParseSettings('s.yaml', GOOD);
  t.true(parsed.ok);
  t.is(parsed.ok ? parsed.val.limits.admissionMs : 0, 2_000);
});

const BAD = [
  {
    title: 'an invalid address',
    text: GOOD.replace('127.0.0.1:8081', 'here'),
    problem:
      's.yaml:5:10: listen.peers: expected an address such as "127.0.0.1:8080", found "here"; correct the value',
  },
  {
    title: 'a missing data centre',
    text: GOOD.replace('dataCentre: kurume\n', ''),
    problem: 's.yaml:1:1: missing field "dataCentre"; add "dataCentre"',
  },
  {
    title: 'a short key, which is not shown',
    text: GOOD.replace('fleetKey: 0123456789abcdef', 'fleetKey: 0123abc'),
    problem: 's.yaml:9:11: fleetKey: expected at least 16 characters; correct the value',
  },
  {
    title: 'a misspelt field',
    text: `${GOOD}logLevl: warn\n`,
    problem: 's.yaml:11:1: unknown field "logLevl"; did you mean "logLevel"?',
  },
  {
    title: 'broken YAML',
    text: 'instance: [',
    problem:
      's.yaml:1:12: Flow sequence in block collection must be sufficiently indented and end with a ]; correct the YAML syntax',
  },
] as const;

BAD.forEach((row) => {
  test(`settings: ${row.title}`, (t) => {
    const parsed = safeParseSettings('s.yaml', row.text);
    t.deepEqual(parsed.ok ? [] : parsed.val.map(formatProblem), [row.problem]);
  });
});

const PAGE = new URL('../../../../docs/SETTINGS.md', import.meta.url);

test('docs/SETTINGS.md lists exactly the fields of the schema', async (t) => {
  const page = await readFile(PAGE, 'utf8');
  t.deepEqual(describedFields(page), fieldsOf(settingsSchema).toSorted());
});
