/** Tests of the routing with real daemons: unresponsive workers, priorities, disconnecting callers. */
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { callModel } from '../../../testbed/caller.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { Relay } from '../../../testbed/relay.js';
import { waitFor } from '../../../testbed/wait.js';

import type { Documents } from '../../config/index.js';
import type { TimelineView } from '../../telemetry/index.js';
import type { ReceivedAnswer } from '../../../testbed/caller.js';

const BUDGET_UNITS = 1_000_000;
const MAX_TOKENS = 10;

function ask(
  fleet: Fleet,
  model: string,
  prompt: string,
  maxTokens = MAX_TOKENS,
  signal?: AbortSignal,
): Promise<ReceivedAnswer> {
  const { url } = fleet.daemon(0);
  const base = { url, apiKey: API_KEY, model, prompt, maxTokens };
  return callModel(signal ? { ...base, signal } : base);
}

/** Documents with three routes, one per priority, to the same engine with one request at a time. */
function singleSlotDocuments({ documents }: Fleet): Documents {
  const [route] = documents.routes;
  const [engine] = documents.upstreams;
  if (!route || !engine) throw new Error('the test documents have changed');
  const priorities = ['urgent', 'normal', 'bulk'] as const;
  return {
    ...documents,
    routes: priorities.map((priority) => ({
      ...route,
      name: `narrow-${priority}`,
      priority,
      queueMs: 20_000,
    })),
    upstreams: priorities.map((priority) => ({
      ...engine,
      name: `engine-${priority}`,
      route: `narrow-${priority}`,
      concurrency: 1,
    })),
  };
}

async function replaceDocuments(fleet: Fleet, documents: Documents): Promise<void> {
  await fleet.publish(documents);
  await waitFor('the documents are in force', async () => {
    const { revision } = await fleet.daemon(0).operator<{ readonly revision: number }>('status');
    return revision >= 2;
  });
}

test('a silent worker is ejected; callers get a complete answer or a refusal with the true outcome', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, engines: 3, units: BUDGET_UNITS });
  try {
    const { documents } = fleet;
    const routes = documents.routes.map((route) => ({ ...route, firstByteMs: 500 }));
    await replaceDocuments(fleet, { ...documents, routes });
    const prompts = Array.from({ length: 30 }, (_, index) => `question ${index} about a berth`);
    fleet.engines[0]?.setFaults({ silent: true });
    const first = await Promise.all(prompts.map((prompt) => ask(fleet, 'drafts', prompt)));
    const whole = first.filter((answer) => answer.isComplete);
    const refused = first.filter((answer) => !answer.isComplete);
    const codes = refused.map(({ code, outcome }) => `${code} ${outcome}`).join(', ');
    t.log(`${whole.length} whole, ${refused.length} refused: ${codes}`);
    t.true(whole.length > 0);
    t.true(refused.every(({ code }) => code !== undefined));
    const work = fleet.engines.flatMap(({ orders }) => orders.requests);
    const falseNotRun = refused
      .filter(({ outcome }) => outcome === 'not-run')
      .filter(({ key }) => work.some(({ id }) => id.startsWith(`${key}.`)));
    t.deepEqual(falseNotRun, [], 'no request that reached an engine is reported as not-run');
    const { events } = await fleet.daemon(0).operator<TimelineView>('timeline');
    const dispatched = new Set(
      events
        .filter(({ name }) => name === 'requestDispatched')
        .map(({ subject }) => subject.request),
    );
    t.true(
      refused.every(({ outcome, key }) =>
        outcome === 'not-run' ? !dispatched.has(key) : dispatched.has(key),
      ),
      'exactly the requests that were never dispatched are reported as not-run',
    );
    t.true(events.some(({ name }) => name === 'upstreamEjected'));
    // By then the ejected worker is tried again, and it still does not answer.
    await delay(2_500);
    const later = await Promise.all(prompts.map((prompt) => ask(fleet, 'drafts', prompt)));
    t.is(later.filter((answer) => answer.isComplete).length, prompts.length);
  } finally {
    await fleet.stop();
  }
});

test('urgent requests go before bulk requests at a busy worker, and all of them are answered', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, engines: 1, units: BUDGET_UNITS });
  try {
    await replaceDocuments(fleet, singleSlotDocuments(fleet));
    const order: string[] = [];
    const send = async (route: string): Promise<void> => {
      const answer = await ask(fleet, route, `one of ${route}`);
      if (answer.isComplete) order.push(route);
    };
    const running = send('narrow-normal');
    await delay(30);
    const bulk = Array.from({ length: 3 }, () => send('narrow-bulk'));
    await delay(30);
    const urgent = Array.from({ length: 3 }, () => send('narrow-urgent'));
    await Promise.all([running, ...bulk, ...urgent]);
    t.is(order.length, 7);
    t.is(order[0], 'narrow-normal');
    const places = order.flatMap((route, place) => (route === 'narrow-urgent' ? [place] : []));
    t.true(Math.max(...places) <= 4, order.join(' '));
  } finally {
    await fleet.stop();
  }
});

test('a request that would exceed its queue deadline is refused as overloaded and does not run', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, engines: 1, units: BUDGET_UNITS });
  try {
    const documents = singleSlotDocuments(fleet);
    const routes = documents.routes.map((route) => ({ ...route, queueMs: 100 }));
    await replaceDocuments(fleet, { ...documents, routes });
    const long = ask(fleet, 'narrow-normal', 'a long one', 100);
    await delay(50);
    const refused = await ask(fleet, 'narrow-normal', 'too late');
    t.is(refused.status, 429);
    t.is(refused.code, 'overloaded');
    t.is(refused.outcome, 'not-run');
    t.true((await long).isComplete);
    t.is(fleet.engines[0]?.counts.requests, 1);
  } finally {
    await fleet.stop();
  }
});

test('the engine stops when the caller disconnects, even if the connection to the engine is silent', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, engines: 1, units: BUDGET_UNITS });
  const { hostname, port } = new URL(fleet.urls.engines[0] ?? '');
  const relay = await Relay.start(hostname, Number(port));
  try {
    const { documents } = fleet;
    const upstreams = documents.upstreams.map((upstream) => {
      const url = upstream.route === 'drafts' ? `http://${relay.address}` : upstream.url;
      return { ...upstream, url };
    });
    await replaceDocuments(fleet, { ...documents, upstreams });
    const caller = new AbortController();
    const asked = ask(fleet, 'drafts', 'a long one', 2_000, caller.signal);
    await waitFor('the answer has begun', () => (fleet.engines[0]?.counts.tokens ?? 0) > 3);
    // From here on the relay passes nothing on the open connection, not even its end.
    relay.silenceOpen();
    caller.abort();
    await asked;
    await waitFor('the engine has cancelled', () => fleet.engines[0]?.counts.cancelled === 1);
    const { tokens = 0 } = fleet.engines[0]?.counts ?? {};
    t.true(tokens < 2_000);
  } finally {
    await relay.stop();
    await fleet.stop();
  }
});
