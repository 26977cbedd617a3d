import { readFile } from 'node:fs/promises';

import test from 'ava';

import { describedFields, fieldsOf } from '../../../testbed/schemafields.js';
import { formatProblem } from '../../kernel/index.js';
import { gatewaySettingsSchema, safeParseGatewaySettings } from '../settings.js';

const GOOD = `instance: edge-1
dataCentre: kurume
listen:
  callers: 127.0.0.1:8080
  readiness: 127.0.0.1:8081
  peers: 127.0.0.1:8082
  metrics: 127.0.0.1:8083
store: 127.0.0.1:9000
`;

const PAGE = new URL('../../../../docs/GATEWAY-SETTINGS.md', import.meta.url);

test('gateway settings: a short file is accepted with its defaults', (t) => {
  const parsed = safeParseGatewaySettings('g.yaml', GOOD).unwrap();
  t.deepEqual(parsed.allowances, {
    shards: 8,
    aloneSeconds: 10,
    exposure: 0.2,
    idlePart: 0.5,
    holdersUpTo: 3,
  });
  t.is(parsed.stopMs, 8_000);
});

const BAD = [
  {
    title: 'an invalid address',
    text: GOOD.replace('127.0.0.1:9000', 'here'),
    problem:
      'g.yaml:8:8: store: expected an address such as "127.0.0.1:8080", found "here"; correct the value',
  },
  {
    title: 'a missing data centre',
    text: GOOD.replace('dataCentre: kurume\n', ''),
    problem: 'g.yaml:1:1: missing field "dataCentre"; add "dataCentre"',
  },
  {
    title: 'a misspelt field',
    text: `${GOOD}logLevl: warn\n`,
    problem: 'g.yaml:9:1: unknown field "logLevl"; did you mean "logLevel"?',
  },
] as const;

BAD.forEach(({ title, text, problem }) => {
  test(`gateway settings: ${title}`, (t) => {
    const parsed = safeParseGatewaySettings('g.yaml', text);
    t.deepEqual(parsed.ok ? [] : parsed.val.map(formatProblem), [problem]);
  });
});

test('docs/GATEWAY-SETTINGS.md lists every field and no other', async (t) => {
  const page = await readFile(PAGE, 'utf8');
  t.deepEqual(describedFields(page), fieldsOf(gatewaySettingsSchema).toSorted());
});
