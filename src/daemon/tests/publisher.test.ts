import { pino } from 'pino';
import test from 'ava';

import type { ExecutionContext } from 'ava';
import { FakeObjectStore } from '../../../fakes/index.js';
import { PeerlessNetwork } from '../../../testbed/peerlessnetwork.js';
import { freePort } from '../../../testbed/ports.js';
import { waitFor } from '../../../testbed/wait.js';
import {
  splitIntoPieces,
  EMPTY_DOCUMENTS,
  MANIFEST_KEY,
  parseStoredManifest,
  PIECE_RETENTION_MS,
} from '../../config/index.js';
import { SystemClock } from '../../kernel/index.js';
import { HttpObjectStore } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { ConfigTask } from '../configtask.js';
import { Publisher } from '../publisher.js';

import type { Documents } from '../../config/index.js';
import type { Clock } from '../../kernel/index.js';

/** A fake store and a publisher whose clock is set by the test. */
interface TestSetup {
  readonly fake: FakeObjectStore;
  readonly store: HttpObjectStore;
  readonly publishing: Publisher;
  readonly clock: { at: number };
}

async function makeSetup(t: ExecutionContext): Promise<TestSetup> {
  const [host, port] = ['127.0.0.1', await freePort()];
  const fake = await FakeObjectStore.start({ host, port, writesPerSecond: 400 });
  const store = new HttpObjectStore(`http://${host}:${port}`);
  const logger = pino({ level: 'silent' });
  const metrics = undefined;
  const recorder = new Recorder('entry-1~1', new SystemClock(), {
    logger,
    metrics,
    flush: () => undefined,
  });
  const network = new PeerlessNetwork();
  const self = 'entry-1~1';
  const config = new ConfigTask({ self, dataCentre: 'dc-1', store, network, recorder });
  const clock = { at: 1_000_000 };
  const now: Clock = { now: () => clock.at };
  t.teardown(async () => {
    await store.close();
    await fake.stop();
  });
  return {
    fake,
    store,
    publishing: new Publisher({ store, config, recorder, clock: now }),
    clock,
  };
}

function workspaceNamed(name: string): Documents {
  return { ...EMPTY_DOCUMENTS, workspaces: [{ name, state: 'open', keys: [] }] };
}

function pieceKeysOf(name: string): readonly string[] {
  return splitIntoPieces(workspaceNamed(name)).map(({ digest }) => `config/pieces/${digest}`);
}

async function publishWorkspace(
  { publishing }: TestSetup,
  name: string,
  base: number,
): Promise<string> {
  const order = { operation: `${name}-${base}`, author: 'ana', base };
  const done = await publishing.publish({ ...order, documents: workspaceNamed(name) });
  return done.ok ? `${done.val.result} ${done.val.revision}` : done.val.code;
}

test('old pieces are removed once no recent revision refers to them', async (t) => {
  const setup = await makeSetup(t);
  t.is(await publishWorkspace(setup, 'a', 0), 'published 1');
  t.is(await publishWorkspace(setup, 'b', 1), 'published 2');
  t.is(await publishWorkspace(setup, 'c', 2), 'published 3');
  t.is(setup.fake.keys('config/pieces/').length, 3);
  setup.clock.at += PIECE_RETENTION_MS;
  t.is(await publishWorkspace(setup, 'd', 3), 'published 4');
  const expected = [...pieceKeysOf('c'), ...pieceKeysOf('d')].sort();
  await waitFor('the old pieces are gone', () =>
    pieceKeysOf('a')
      .concat(pieceKeysOf('b'))
      .every((key) => !setup.fake.keys('config/').includes(key)),
  );
  t.deepEqual(setup.fake.keys('config/pieces/'), expected);
});

test('an old piece is not removed if another publisher has stored it again', async (t) => {
  const setup = await makeSetup(t);
  await publishWorkspace(setup, 'a', 0);
  await publishWorkspace(setup, 'b', 1);
  setup.clock.at += PIECE_RETENTION_MS;
  // Another publisher has stored the piece again but has not activated its revision yet.
  t.true((await setup.publishing.stage([workspaceNamed('a')])).ok);
  await publishWorkspace(setup, 'c', 2);
  await publishWorkspace(setup, 'd', 3);
  t.deepEqual(
    pieceKeysOf('a').map((key) => setup.fake.keys('config/').includes(key)),
    [true],
  );
});

test('a repeated publication is recognised after later revisions and adds no revision', async (t) => {
  const setup = await makeSetup(t);
  await publishWorkspace(setup, 'a', 0);
  await publishWorkspace(setup, 'b', 1);
  setup.clock.at += 1;
  t.is(await publishWorkspace(setup, 'a', 0), 'repeated 1');
  t.is(await publishWorkspace(setup, 'c', 1), 'conflict');
  t.is(await publishWorkspace(setup, 'b', 2), 'unchanged 2');
  t.is(parseStoredManifest(setup.fake.peek(MANIFEST_KEY)).manifest.revision, 2);
});

test('the failure of a publication during an outage states whether it may have taken effect', async (t) => {
  const setup = await makeSetup(t);
  await publishWorkspace(setup, 'a', 0);
  setup.fake.setFaults({ outage: true });
  const order = { operation: 'x', author: 'ana', base: 1, documents: workspaceNamed('b') };
  const refused = await setup.publishing.publish(order);
  t.like(refused.val, { code: 'store-unavailable', outcome: 'not-run' });
  setup.fake.setFaults({ outage: false });
  t.like((await setup.publishing.publish(order)).val, { result: 'published', revision: 2 });
});

test('a large first publication stays within the write rate of the store', async (t) => {
  const setup = await makeSetup(t);
  const names = Array.from({ length: 900 }, (_, index) => `w-${index}`);
  const workspaces = names.map((name) => ({ name, state: 'open' as const, keys: [] }));
  const documents = { ...EMPTY_DOCUMENTS, workspaces };
  const order = { operation: 'x', author: 'ana', base: 0, documents };
  t.like((await setup.publishing.publish(order)).val, { result: 'published', revision: 1 });
  t.is(setup.fake.counts.limited, 0);
});
