/** Proof: an accepted configuration is in force everywhere within seconds and never reverts. */
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

/** Share of the store's writes whose answer is lost. */
const LOST_SHARE = 0.3;

/** Longest time from acceptance, or reconnection, until a revision is in force, in milliseconds. */
const LIMIT_MS = 5_000;

/** Duration of a freeze, a cut or an outage, in milliseconds. */
const FAULT_MS = 1_500;

/** A fleet whose daemons reach the store each through a relay. */
interface Stage {
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

function running({ fleet }: Stage): readonly DaemonProcess[] {
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

/** Two operators race through two daemons; the winner's change is then in force at the others. */
async function race(stage: Stage, round: number, through: readonly DaemonProcess[]): Promise<void> {
  const { fleet, documents, revision: base } = stage;
  const state = stage;
  const contenders: readonly Contender[] = through.slice(0, 2).map((daemon, index) => {
    const operation = `r${round}-${index}`;
    const budgets = [...documents.budgets, { name: `budget-${operation}`, workspace: 'shop' }];
    const author = `operator-${index}`;
    return { daemon, operation, author, base, documents: { ...documents, budgets } };
  });
  const verdicts = await Promise.all(contenders.map(publishUntilKnown));
  state.revision = checkRace(fleet, base, verdicts);
  stage.watch.accept(state.revision);
  const winner = verdicts.find(({ revision }) => revision !== undefined);
  state.documents = winner?.contender.documents ?? documents;
}

async function settle(
  stage: Stage,
  daemons: readonly DaemonProcess[],
  what: string,
): Promise<void> {
  const { watch, revision } = stage;
  const state = stage;
  const tookMs = await watch.inForce(namesOf(daemons), revision, LIMIT_MS, what);
  state.slowestMs = Math.max(state.slowestMs, tookMs);
}

/** Freezes or cuts two daemons of nine while the others take a new revision. */
async function roundWithout(stage: Stage, round: number, fault: Fault): Promise<void> {
  const order = shuffled(running(stage), stage.ctx.random);
  const [hit, others] = [order.slice(0, 2), order.slice(2)];
  const relays = hit.map(({ options }) => stage.relays.get(options.name));
  if (fault === 'freeze') hit.forEach(({ child }) => child.signal('SIGSTOP'));
  else relays.forEach((relay) => relay?.setMode('cut'));
  await race(stage, round, others);
  await settle(stage, others, 'after it was accepted');
  await delay(FAULT_MS);
  if (fault === 'freeze') hit.forEach(({ child }) => child.signal('SIGCONT'));
  else relays.forEach((relay) => relay?.setMode('pass'));
  await settle(stage, hit, `after the ${fault} ended`);
}

/** Kills two daemons and starts them again while the store does not answer. */
async function roundInOutage(stage: Stage, round: number): Promise<void> {
  const { fleet, watch } = stage;
  const order = shuffled(running(stage), stage.ctx.random);
  await race(stage, round, order);
  await settle(stage, order, 'after it was accepted');
  fleet.store.setFaults({ outage: true });
  const killed = order.slice(0, 2);
  killed.forEach(({ child }) => child.signal('SIGKILL'));
  await Promise.all(killed.map(({ child }) => child.ended()));
  const fresh = await Promise.all(
    killed.map(({ options }) => fleet.addDaemon(options.name, options.dataCentre)),
  );
  fresh.forEach((daemon) => watch.add(daemon));
  await Promise.all(fresh.map((daemon) => daemon.waitHealthy()));
  await settle(stage, fresh, 'of a start during an outage');
  await Promise.all(fresh.map((daemon) => daemon.waitReady()));
  await delay(FAULT_MS);
  fleet.store.setFaults({ outage: false });
}

/** Operators race, answers get lost, daemons freeze, are cut off, die and start during an outage. */
export class ConfigNeverRevertsProof extends Proof {
  override readonly name = 'config-never-reverts';

  override readonly point =
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
    const stage: Stage = { fleet, relays, watch, ctx, documents, revision: 1, slowestMs: 0 };
    try {
      fleet.daemons.forEach((daemon) => watch.add(daemon));
      await this.#rounds(stage);
      watch.check();
      ensure(watch.answers > 0, 'no daemon was asked: nothing was proved');
      const { revision, slowestMs } = stage;
      ctx.say(`revision ${revision}, slowest ${slowestMs} ms, ${watch.answers} answers checked`);
    } finally {
      watch.stop();
      await fleet.stop();
      await Promise.all([...relays.values()].map((relay) => relay.stop()));
    }
  }

  async #rounds(stage: Stage): Promise<void> {
    stage.fleet.store.setFaults({ loseAnswers: LOST_SHARE });
    for (let round = 0; round < ROUNDS; round += 1) {
      const fault = FAULTS[round % FAULTS.length] ?? 'freeze';
      // Rounds follow one another, each with its fault.
      /* eslint-disable no-await-in-loop */
      if (fault === 'restart-in-outage') await roundInOutage(stage, round);
      else await roundWithout(stage, round, fault);
      await settle(stage, running(stage), 'at the end of a round');
      /* eslint-enable no-await-in-loop */
      stage.watch.check();
    }
  }
}
