import { StatsD } from 'hot-shots';
import { pino } from 'pino';
import test from 'ava';

import type { ExecutionContext } from 'ava';
import { freePort } from '../../../testbed/ports.js';
import { Relay } from '../../../testbed/relay.js';
import { waitFor } from '../../../testbed/wait.js';
import { Ok, SystemClock } from '../../kernel/index.js';
import { InstanceList } from '../../store/index.js';
import { Recorder } from '../../telemetry/index.js';
import { PolledInstanceDirectory } from '../polledinstancedirectory.js';
import { WsPeerNetwork } from '../wspeernetwork.js';

import type { Instance } from '../../store/index.js';
import type { Result } from '../../kernel/index.js';

const FLEET_KEY = 'the-key-of-the-fleet';
const TIMEOUT_MS = 800;
const QUERY = { type: 'key-query', workspace: 'w', key: 'k' } as const;

class StaticInstanceList extends InstanceList {
  constructor(private readonly instances: readonly Instance[]) {
    super();
  }

  override async fetch(): Promise<Result<readonly Instance[], string>> {
    return Ok(this.instances);
  }
}

interface TestNode {
  readonly network: WsPeerNetwork;
  readonly recorder: Recorder;
}

interface NodeOptions {
  readonly name: string;
  readonly port: number;
  readonly fleetKey: string;
  readonly listed: readonly Instance[];
}

function instance(name: string, peerAddress: string): Instance {
  return { name, dataCentre: 'dc-1', peerAddress, state: 'live' };
}

async function startNode(t: ExecutionContext, options: NodeOptions): Promise<TestNode> {
  const { name, port, fleetKey, listed } = options;
  const self = `${name}~1`;
  const sinks = { logger: pino({ level: 'silent' }), metrics: new StatsD({ mock: true }) };
  const recorder = new Recorder(self, new SystemClock(), sinks);
  const directory = new PolledInstanceDirectory(new StaticInstanceList(listed));
  await directory.start();
  const network = new WsPeerNetwork({
    self,
    fleetKey,
    host: '127.0.0.1',
    port,
    directory,
    recorder,
  });
  network.handle('key-query', () => ({ type: 'key-known', record: null }));
  network.start();
  t.teardown(async () => {
    directory.stop();
    await network.stop();
  });
  return { network, recorder };
}

function eventsOf({ recorder }: TestNode): readonly string[] {
  return recorder.timeline.list().map(({ name }) => name);
}

async function sendQuery({ network }: TestNode, to: string): Promise<boolean> {
  const request = { to, body: QUERY, reply: 'key-known', timeoutMs: TIMEOUT_MS } as const;
  return (await network.request(request)).ok;
}

const DIALLERS = [
  {
    title: 'a listed instance with the fleet key gets a reply',
    name: 'b',
    key: FLEET_KEY,
    isAnswered: true,
  },
  {
    title: 'an instance with a wrong key is refused',
    name: 'b',
    key: 'another-key-of-a-fleet',
    isAnswered: false,
  },
  { title: 'an unlisted instance is refused', name: 'x', key: FLEET_KEY, isAnswered: false },
] as const;

DIALLERS.forEach(({ title, name, key, isAnswered }) => {
  test(`peer link: ${title}`, async (t) => {
    const [portA, portB] = [await freePort(), await freePort()];
    const listed = [instance('a', `127.0.0.1:${portA}`), instance('b', `127.0.0.1:${portB}`)];
    const a = await startNode(t, { name: 'a', port: portA, fleetKey: FLEET_KEY, listed });
    const dialler = await startNode(t, { name, port: portB, fleetKey: key, listed });
    t.is(await sendQuery(dialler, 'a'), isAnswered);
    t.is(eventsOf(a).includes('linkRefused'), !isAnswered);
  });
});

test('peer link: a connection that goes silent is closed and reopened', async (t) => {
  const [portA, portB] = [await freePort(), await freePort()];
  const relay = await Relay.start('127.0.0.1', portA);
  t.teardown(() => relay.stop());
  const listed = [instance('a', relay.address), instance('b', `127.0.0.1:${portB}`)];
  await startNode(t, { name: 'a', port: portA, fleetKey: FLEET_KEY, listed });
  const b = await startNode(t, { name: 'b', port: portB, fleetKey: FLEET_KEY, listed });
  t.true(await sendQuery(b, 'a'));
  relay.silenceOpen();
  t.false(await sendQuery(b, 'a'));
  await waitFor('the link is replaced', () => sendQuery(b, 'a'), 10_000);
  t.true(eventsOf(b).includes('linkSilent'));
});

['127.0.0.1:70000', 'no address'].forEach((address) => {
  test(`a peer whose address is impossible is unreachable, and the process goes on: ${address}`, async (t) => {
    const listed = [instance('entry-2', address)];
    const port = await freePort();
    const node = await startNode(t, { name: 'entry-1', port, fleetKey: FLEET_KEY, listed });
    const { network } = node;
    const reply = await network.request({
      to: 'entry-2',
      body: QUERY,
      reply: 'key-known',
      timeoutMs: TIMEOUT_MS,
    });
    t.true(reply.err && reply.val.code === 'peer-unreachable');
    t.true(eventsOf(node).includes('linkClosed'));
  });
});

test('peer link: a listener whose port is taken is logged and does not end the process', async (t) => {
  const port = await freePort();
  const options = { name: 'a', port, fleetKey: FLEET_KEY, listed: [] };
  await startNode(t, options);
  const second = await startNode(t, options);
  await waitFor('the error is logged', () => eventsOf(second).includes('listenerFailed'));
  t.pass();
});
