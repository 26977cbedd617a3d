/** Proof: every daemon applies an accepted configuration within seconds and never reverts it. */
import { setTimeout as delay } from 'node:timers/promises';

import { Fleet } from '../testbed/fleet.js';
import { Relay } from '../testbed/relay.js';
import { checkRace, publishUntilKnown } from './operatorrace.js';
import { ensure, Proof } from './proof.js';
import { RevisionWatch } from './revisionwatch.js';

import type { Documents } from '../src/config/index.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';
import type { Contender } from './operatorrace.js';
import type { ProofContext } from './proof.js';

const DAEMONS = 9;
const CENTRES = ['dc-1', 'dc-2', 'dc-3'] as const;
const ROUNDS = 9;

/** Share of the store writes that take effect but whose response is lost. */
const LOST_ANSWER_SHARE = 0.3;

/** Maximum time from acceptance or reconnection until a revision is in force, in milliseconds. */
const IN_FORCE_TIMEOUT_MS = 5_000;

/** Duration of a suspension, a network cut or a store outage, in milliseconds. */
const FAULT_DURATION_MS = 1_500;

/** State of the proof; each daemon of the fleet reaches the store through a relay of its own. */
interface Scenario {
  readonly fleet: Fleet;
  readonly relays: ReadonlyMap<string, Relay>;
  readonly watch: RevisionWatch;
  readonly ctx: ProofContext;
  documents: Documents;
  revision: number;
  slowestMs: number;
}

type Fault = 'freeze' | 'cut' | 'restart-in-outage';

const FAULTS: readonly Fault[] = ['freeze', 'cut', 'restart-in-outage'];

function running({ fleet }: Scenario): readonly DaemonProcess[] {
  return fleet.daemons.filter(({ child }) => child.running);
}

function namesOf(daemons: readonly DaemonProcess[]): readonly string[] {
  return daemons.map(({ options }) => options.name);
}

function shuffled<Item>(items: readonly Item[], random: () => number): readonly Item[] {
  return items
    .map((item) => ({ item, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ item }) => item);
}

/** Two operators publish concurrently through two daemons; records the accepted revision. */
async function race(
  scenario: Scenario,
  round: number,
  through: readonly DaemonProcess[],
): Promise<void> {
  const { fleet, documents, revision: base } = scenario;
  const state = scenario;
  const contenders: readonly Contender[] = through.slice(0, 2).map((daemon, index) => {
    const operation = `r${round}-${index}`;
    const budgets = [...documents.budgets, { name: `budget-${operation}`, workspace: 'shop' }];
    const author = `operator-${index}`;
    return { daemon, operation, author, base, documents: { ...documents, budgets } };
  });
  const outcomes = await Promise.all(contenders.map(publishUntilKnown));
  state.revision = checkRace(fleet, base, outcomes);
  scenario.watch.recordAccepted(state.revision);
  const winner = outcomes.find(({ revision }) => revision !== undefined);
  state.documents = winner?.contender.documents ?? documents;
}

async function waitInForce(
  scenario: Scenario,
  daemons: readonly DaemonProcess[],
  what: string,
): Promise<void> {
  const { watch, revision } = scenario;
  const state = scenario;
  const tookMs = await watch.waitInForce(namesOf(daemons), revision, IN_FORCE_TIMEOUT_MS, what);
  state.slowestMs = Math.max(state.slowestMs, tookMs);
}

/** Suspends two daemons, or cuts them off, while the others apply a new revision. */
async function roundWithFault(scenario: Scenario, round: number, fault: Fault): Promise<void> {
  const order = shuffled(running(scenario), scenario.ctx.random);
  const [affected, others] = [order.slice(0, 2), order.slice(2)];
  const relays = affected.map(({ options }) => scenario.relays.get(options.name));
  if (fault === 'freeze') affected.forEach(({ child }) => child.signal('SIGSTOP'));
  else relays.forEach((relay) => relay?.setMode('cut'));
  await race(scenario, round, others);
  await waitInForce(scenario, others, 'after it was accepted');
  await delay(FAULT_DURATION_MS);
  if (fault === 'freeze') affected.forEach(({ child }) => child.signal('SIGCONT'));
  else relays.forEach((relay) => relay?.setMode('pass'));
  await waitInForce(scenario, affected, `after the ${fault} ended`);
}

/** Kills two daemons and restarts them during a store outage. */
async function roundInOutage(scenario: Scenario, round: number): Promise<void> {
  const { fleet, watch } = scenario;
  const order = shuffled(running(scenario), scenario.ctx.random);
  await race(scenario, round, order);
  await waitInForce(scenario, order, 'after it was accepted');
  fleet.store.setFaults({ outage: true });
  const killed = order.slice(0, 2);
  killed.forEach(({ child }) => child.signal('SIGKILL'));
  await Promise.all(killed.map(({ child }) => child.ended()));
  const restarted = await Promise.all(
    killed.map(({ options }) => fleet.addDaemon(options.name, options.dataCentre)),
  );
  restarted.forEach((daemon) => watch.add(daemon));
  await Promise.all(restarted.map((daemon) => daemon.waitHealthy()));
  await waitInForce(scenario, restarted, 'of a start during an outage');
  await Promise.all(restarted.map((daemon) => daemon.waitReady()));
  await delay(FAULT_DURATION_MS);
  fleet.store.setFaults({ outage: false });
}

/**
 * Operators publish concurrently while store responses are lost, and while daemons are suspended,
 * cut off, or killed and restarted during a store outage.
 */
export class ConfigNeverRevertsProof extends Proof {
  override readonly name = 'config-never-reverts';

  override readonly requirement =
    'an accepted configuration is in force everywhere within seconds and never reverts';

  override readonly short = false;

  override async run(ctx: ProofContext): Promise<void> {
    const names = Array.from({ length: DAEMONS }, (_, index) => `entry-${index + 1}`);
    const relays = new Map<string, Relay>();
    await Promise.all(
      names.map(async (name) => relays.set(name, await Relay.start('127.0.0.1', 0))),
    );
    const fleet = await Fleet.start({
      daemons: DAEMONS,
      dataCentres: CENTRES,
      units: 1_000,
      random: ctx.random,
      objectsUrlFor: (name, objects) => {
        const relay = relays.get(name);
        relay?.retarget('127.0.0.1', Number(new URL(objects).port));
        return relay ? `http://${relay.address}` : objects;
      },
    });
    const watch = new RevisionWatch();
    const { documents } = fleet;
    const scenario: Scenario = { fleet, relays, watch, ctx, documents, revision: 1, slowestMs: 0 };
    try {
      fleet.daemons.forEach((daemon) => watch.add(daemon));
      await this.#rounds(scenario);
      watch.check();
      ensure(watch.answers > 0, 'no daemon was polled: the proof is not conclusive');
      const { revision, slowestMs } = scenario;
      ctx.say(`revision ${revision}, slowest ${slowestMs} ms, ${watch.answers} answers checked`);
    } finally {
      watch.stop();
      await fleet.stop();
      await Promise.all([...relays.values()].map((relay) => relay.stop()));
    }
  }

  async #rounds(scenario: Scenario): Promise<void> {
    scenario.fleet.store.setFaults({ loseAnswers: LOST_ANSWER_SHARE });
    for (let round = 0; round < ROUNDS; round += 1) {
      const fault = FAULTS[round % FAULTS.length] ?? 'freeze';
      // Rounds run sequentially, because each injects its own fault.
      /* eslint-disable no-await-in-loop */
      if (fault === 'restart-in-outage') await roundInOutage(scenario, round);
      else await roundWithFault(scenario, round, fault);
      await waitInForce(scenario, running(scenario), 'at the end of a round');
      /* eslint-enable no-await-in-loop */
      scenario.watch.check();
    }
  }
}
