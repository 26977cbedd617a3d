import { pino } from 'pino';
import test from 'ava';

import { LocalNetwork } from '../../../testbed/localnetwork.js';
import { rendezvous, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { placeCall } from '../callplacement.js';
import { LimitPermits } from '../limitpermits.js';
import { GatewayMetrics } from '../metrics.js';
import { UpstreamPool } from '../upstreampool.js';
import { UpstreamRegistry } from '../upstreams.js';

import type { PlacedCall } from '../callplacement.js';
import type { UpstreamRecord } from '../upstreams.js';

const RECORD: UpstreamRecord = {
  id: 'u1',
  startedAt: 1,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  capacity: 8,
  isLeaving: false,
  warmupMs: 0,
};
const NAMES = ['e1', 'e2', 'e3'];
const [FIRST = '', SECOND = '', THIRD = ''] = rendezvous(RECORD.id, NAMES);

interface Daemon {
  readonly network: LocalNetwork;
  readonly registry: UpstreamRegistry;
  readonly permits: LimitPermits;
  readonly place: () => Promise<PlacedCall | undefined>;
}

class ManualClock {
  at = 1_000;

  now(): number {
    return this.at;
  }
}

/** Creates three daemons that know the upstreams and have a common clock. */
function createFleet(records: readonly UpstreamRecord[] = [RECORD]): {
  readonly clock: ManualClock;
  readonly daemons: ReadonlyMap<string, Daemon>;
} {
  const clock = new ManualClock();
  const networks = NAMES.map((name) => new LocalNetwork(`${name}~1`, 'a', 1));
  networks.forEach((network) => {
    networks.filter((other) => other !== network).forEach((other) => network.connect(other));
  });
  const daemons = new Map<string, Daemon>();
  networks.forEach((network, at) => {
    const name = NAMES[at] ?? '';
    const registry = new UpstreamRegistry();
    registry.replace(records, clock.now());
    const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
    const permits = new LimitPermits({
      self: `${name}~1`,
      network,
      daemons: () => NAMES,
      limits: registry.limits,
      recorder: new Recorder(`${name}~1`, new SystemClock(), sinks),
      metrics: new GatewayMetrics(),
      clock,
      random: () => 0,
    });
    const options = {
      rereadWeight: 2,
      loadMsPerRequest: 0.3,
      slotWaitMs: 1_500,
      remotePenaltyMs: 4,
      failurePenaltyMs: 400,
      usualSilenceMs: 600,
      tokensPerMs: 60,
    };
    const upstreamPool = new UpstreamPool(registry, 'a', options, clock);
    const ctx = { upstreamPool, registry, limitPermits: permits, clock, random: () => 0 };
    const query = {
      service: 's',
      request: { sharedParts: [], sharedTokens: 0, promptTokens: 0, memoryTokens: 0 },
      excluded: [],
      memoryTokens: undefined,
    };
    const place = async (): Promise<PlacedCall | undefined> => placeCall(ctx, query);
    daemons.set(name, { network, registry, permits, place });
  });
  return { clock, daemons };
}

const pick = ({ daemons }: ReturnType<typeof createFleet>, name: string): Daemon => {
  const daemon = daemons.get(name);
  if (!daemon) throw new Error(`no daemon ${name}`);
  return daemon;
};

test('daemons that know a limit share one permit, and a denied one asks again only after its wait', async (t) => {
  const fleet = createFleet();
  const second = pick(fleet, SECOND);
  const third = pick(fleet, THIRD);
  second.permits.observe(RECORD, { limit: 1, at: 1_000 });
  third.permits.observe(RECORD, { limit: 1, at: 1_000 });
  t.is((await second.place())?.permittedUntil, 1_300);
  t.is(await third.place(), undefined);
  const asks = third.network.sent.length;
  t.is(await third.place(), undefined);
  t.is(third.network.sent.length, asks);
  t.true(third.registry.limits.heldMs(RECORD, fleet.clock.now()) > 0);
});

test('the steward learns of a limit from the first daemon that sees it', async (t) => {
  const fleet = createFleet();
  pick(fleet, THIRD).permits.observe(RECORD, { limit: 1, at: 1_000 });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  t.is(pick(fleet, FIRST).registry.limits.limitOf(RECORD), 1);
});

test('a daemon without answers learns the end of a limit with its next request for a permit', async (t) => {
  const fleet = createFleet();
  const second = pick(fleet, SECOND);
  const third = pick(fleet, THIRD);
  third.permits.observe(RECORD, { limit: 0, at: 1_000 });
  await third.place();
  t.is(await third.place(), undefined);
  fleet.clock.at += 100;
  second.permits.observe(RECORD, { limit: 0, at: 1_000 });
  second.permits.observe(RECORD, { limit: undefined, at: 1_050 });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  fleet.clock.at += 2_000;
  t.not(await third.place(), undefined);
  t.is(third.registry.limits.limitOf(RECORD), undefined);
});

test('a daemon that cannot reach the steward asks the next one, which grants less', async (t) => {
  const fleet = createFleet();
  const third = pick(fleet, THIRD);
  third.network.blockedPeers.add(FIRST);
  third.permits.observe(RECORD, { limit: 1, at: 1_000 });
  t.not(await third.place(), undefined);
  fleet.clock.at += 1_500;
  // The steward would grant a permit now.
  t.is(await third.place(), undefined);
});

test('a daemon that reaches no other one does not take the whole limit', async (t) => {
  const fleet = createFleet();
  const third = pick(fleet, THIRD);
  third.network.isIsolated = true;
  third.permits.observe(RECORD, { limit: 4, at: 1_000 });
  let granted = 0;
  for (let step = 0; step < 100; step += 1) {
    // eslint-disable-next-line no-await-in-loop
    if (await third.place()) granted += 1;
    fleet.clock.at += 100;
  }
  // Half of the limit, split between this daemon and another one that may be isolated, for 10 s.
  t.true(granted > 0 && granted <= 11, `${granted} permits`);
});

test('a request is placed on an upstream without a limit after three denials', async (t) => {
  const limited = ['u1', 'u2', 'u3', 'u4', 'u5'].map((id) => ({ ...RECORD, id }));
  const fleet = createFleet([...limited, { ...RECORD, id: 'u6', capacity: 1, dataCentre: 'b' }]);
  const third = pick(fleet, THIRD);
  limited.forEach((record) => third.permits.observe(record, { limit: 0, at: 1_000 }));
  const first = await Promise.all(limited.map(() => third.place()));
  t.true(first.every((placed) => placed !== undefined));
  const placed = await third.place();
  t.is(placed?.upstream.record.id, 'u6');
  t.is(placed?.permittedUntil, Number.NEGATIVE_INFINITY);
});

const COLD = { perSecond: 4, until: 60_000, knownUntil: 60_000 };

test('the steward counts requests to a cold upstream that it does not know to be cold yet', async (t) => {
  const fleet = createFleet();
  const third = pick(fleet, THIRD);
  third.registry.limits.setCold(RECORD, COLD, 1_000);
  t.is((await third.place())?.permittedUntil, 1_150);
  t.is(await third.place(), undefined);
  const known = pick(fleet, FIRST).registry.limits.coldOf(RECORD, fleet.clock.now());
  t.deepEqual(known, COLD);
});

test('a daemon learns from the steward until when an upstream is cold', async (t) => {
  const fleet = createFleet();
  const third = pick(fleet, THIRD);
  pick(fleet, FIRST).registry.limits.setCold(RECORD, COLD, 1_000);
  third.registry.limits.setCold(RECORD, { ...COLD, until: 1_500, knownUntil: 1_500 }, 1_000);
  await third.place();
  t.deepEqual(third.registry.limits.coldOf(RECORD, 2_000), COLD);
});

test('the first daemon does not take the whole rate of a cold upstream while it reaches no other one', async (t) => {
  const fleet = createFleet();
  fleet.clock.at += 60_000;
  const first = pick(fleet, FIRST);
  first.network.isIsolated = true;
  first.registry.limits.setCold(
    RECORD,
    { ...COLD, perSecond: 10, until: 90_000 },
    fleet.clock.now(),
  );
  let granted = 0;
  for (let step = 0; step < 100; step += 1) {
    // eslint-disable-next-line no-await-in-loop
    if (await first.place()) granted += 1;
    fleet.clock.at += 100;
  }
  // A fifth of the rate, split between this daemon and another one that may be isolated, for 10 s.
  t.true(granted > 0 && granted <= 11, `${granted} permits`);
});

test('the first daemon, which has run for long, grants the whole rate of a cold upstream at once', async (t) => {
  const fleet = createFleet();
  fleet.clock.at += 10_000;
  const first = pick(fleet, FIRST);
  first.registry.limits.setCold(
    RECORD,
    { ...COLD, perSecond: 10, until: 13_000 },
    fleet.clock.now(),
  );
  let granted = 0;
  for (let step = 0; step < 100; step += 1) {
    // eslint-disable-next-line no-await-in-loop
    if (await first.place()) granted += 1;
    fleet.clock.at += 10;
  }
  t.true(granted >= 8 && granted <= 12, `${granted} permits in one second`);
});

test('the suspicion of one daemon that an upstream is cold does not spread', async (t) => {
  const fleet = createFleet();
  const second = pick(fleet, SECOND);
  const third = pick(fleet, THIRD);
  third.registry.limits.setCold(RECORD, { ...COLD, knownUntil: 0 }, 1_000);
  t.not(await third.place(), undefined);
  t.is(await third.place(), undefined);
  t.is(pick(fleet, FIRST).registry.limits.coldOf(RECORD, 1_000), undefined);
  t.is((await second.place())?.permittedUntil, Number.NEGATIVE_INFINITY);
});
