import test from 'ava';

import { formatProblem } from '../../kernel/index.js';
import { safeParseSettings } from '../settings.js';

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

test('settings: a full file is accepted with its defaults', (t) => {
  const parsed = safeParseSettings('s.yaml', GOOD);
  t.true(parsed.ok);
  t.is(parsed.ok ? parsed.val.limits.admissionMs : 0, 2_000);
});

const BAD = [
  {
    title: 'an address that is none',
    text: GOOD.replace('127.0.0.1:8081', 'here'),
    problem:
      's.yaml:5:10: listen.peers: expected an address such as "127.0.0.1:8080"; correct "listen.peers"',
  },
  {
    title: 'a missing data centre',
    text: GOOD.replace('dataCentre: kurume\n', ''),
    problem:
      's.yaml:1:1: dataCentre: Invalid input: expected string, received undefined; correct "dataCentre"',
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
