import test from 'ava';

import { requestTarget } from '../requesttarget.js';

const ROWS = [
  { target: '/a/b?c=d', host: 'h', expected: { host: 'h', path: '/a/b?c=d' } },
  { target: 'http://x.example/a?b', host: 'h', expected: { host: 'x.example', path: '/a?b' } },
  { target: 'HTTP://x.example:81/', host: '', expected: { host: 'x.example:81', path: '/' } },
  { target: 'https://u:p@x.example?b', host: 'h', expected: { host: 'x.example', path: '/?b' } },
  { target: 'http://x.example', host: 'h', expected: { host: 'x.example', path: '/' } },
  { target: '/http://x.example/', host: 'h', expected: { host: 'h', path: '/http://x.example/' } },
  { target: '*', host: 'h', expected: { host: 'h', path: '*' } },
] as const;

ROWS.forEach(({ target, host, expected }) => {
  test(`the target "${target}" names ${expected.host} and ${expected.path}`, (t) => {
    t.deepEqual(requestTarget(target, host), expected);
  });
});
