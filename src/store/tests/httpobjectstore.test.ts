import { createServer } from 'node:http';

import test from 'ava';

import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import { HttpObjectStore } from '../httpobjectstore.js';
import { updateObject } from '../update.js';

/** Levels at which recursive code overflows the stack. */
const DEPTH = 100_000;

/** Longest text of an error, in characters. */
const MAX_TEXT = 1_000;

const BODIES: readonly (readonly [title: string, body: string])[] = [
  ['not JSON', '{"version":'],
  ['empty', ''],
  ['null', 'null'],
  ['a text', '"x"'],
  ['nested 100,000 deep', `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`],
  ['a version as text', '{"version":"1","changes":{},"position":"1"}'],
  ['a version of 1e999', '{"version":1e999,"changes":[{"key":"a","version":1e999}],"position":1}'],
  ['200,000 changes of another type', `{"changes":[1${',1'.repeat(200_000)}],"position":1}`],
];

async function storeOf(t: ExecutionContext, body: string): Promise<HttpObjectStore> {
  const server = createServer((_req, res) => {
    res.end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const store = new HttpObjectStore(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(async () => {
    await store.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
}

BODIES.forEach(([title, body]) => {
  test(`an answer of the object API that cannot be read is an error, not an exception: ${title}`, async (t) => {
    const store = await storeOf(t, body);
    const results = [
      await store.read('a'),
      await store.write('a', 1, 0),
      await store.remove('a', 1),
      await store.list('a/'),
      await store.watch('a/', 0, 10),
    ];
    results.forEach((result) => {
      t.true(result.err && result.val.problem === 'lost');
      t.true(result.err && result.val.text.length < MAX_TEXT);
    });
  });
});

test('an update of an object that its parser rejects is refused, not an exception', async (t) => {
  const store = await storeOf(t, '{"version":1,"value":"odd"}');
  const parse = (): never => {
    throw new Error('not a shard');
  };
  const updated = await updateObject(store, { key: 'a', parse }, () => ({
    kind: 'keep',
    outcome: 1,
  }));
  t.true(updated.err && updated.val.problem === 'refused');
});
