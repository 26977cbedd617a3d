import test from 'ava';
import { pino } from 'pino';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { MemoryHub } from '../../../testbed/memoryhub.js';
import { DEFAULT_SEED, seededRandom } from '../../../testbed/seed.js';
import { newIncarnation, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { Allowances } from '../allowances.js';
import { Holders } from '../holders.js';

import type { CallOutcome } from '../../../testbed/faultystore.js';
import type { DeliveryOutcome } from '../../../testbed/memorynetwork.js';

const WORKSPACE = 'lender';
const INSTANCES = ['a', 'b', 'c', 'd'];
const STEPS = 400;
const SIMULATIONS = 60;

/** Values of "allUpTo" for a data centre of four daemons: with 4 all of them are holders, with 1 only one is. */
const ALL_HOLDERS_LIMITS = [4, 1] as const;

const FLEETS = ALL_HOLDERS_LIMITS.flatMap((holders) => [
  { holders, hasEras: false, store: 'a store without eras' },
  { holders, hasEras: true, store: 'a store with eras' },
]);

interface Open {
  readonly units: number;
}

interface Daemon {
  readonly self: string;
  readonly allowances: Allowances;
  readonly open: Open[];
}

/** Returns a random whole number below a limit. */
type RandomBelow = (below: number) => number;

function randomBelowOf(seed: number): RandomBelow {
  const random = seededRandom(seed);
  return (below) => Math.floor(random() * below);
}

/** A fleet whose store and links lose messages, and whose daemons crash, restart and stop. */
class SimulatedFleet {
  paid = 1_500;

  spent = 0;

  storeFaults = 0;

  linkFaults = 0;

  readonly daemons = new Map<string, Daemon>();

  readonly store: FaultyStore;

  readonly #hub: MemoryHub;

  constructor(
    private readonly draw: RandomBelow,
    private readonly holders: number,
    hasEras: boolean,
  ) {
    const fates: readonly CallOutcome[] = ['lost-before', 'lost-after', 'late', 'refused'];
    const links: readonly DeliveryOutcome[] = ['lost-before', 'lost-after'];
    this.store = new FaultyStore(
      () => (draw(100) < this.storeFaults ? (fates[draw(fates.length)] ?? 'answered') : 'answered'),
      hasEras,
    );
    this.#hub = new MemoryHub(() =>
      draw(100) < this.linkFaults ? (links[draw(links.length)] ?? 'answered') : 'answered',
    );
    INSTANCES.forEach((instance) => this.start(instance));
  }

  start(instance: string): void {
    const self = newIncarnation(instance);
    const recorder = new Recorder(self, new SystemClock(), {
      logger: pino({ level: 'silent' }),
      metrics: undefined,
    });
    const network = this.#hub.join(self);
    const clock = new SteadyClock();
    const allowances = new Allowances({
      self,
      store: this.store,
      network,
      recorder,
      clock,
      holders: new Holders({
        self,
        dataCentre: 'x',
        cores: 1,
        daemons: () => network.peers().map((peer) => ({ ...peer, cores: 1 })),
        clock,
        allUpTo: this.holders,
      }),
      policy: () => ({
        aloneSeconds: 10,
        exposure: 0.5,
        idlePart: 0.6,
        daemons: 4,
        smoothingMs: 500,
      }),
      shards: 1,
      paidOf: () => this.paid,
      workspaces: () => [WORKSPACE],
      isStoreUp: () => this.storeFaults < 100,
      isStopping: () => false,
    });
    this.daemons.set(instance, { self, allowances, open: [] });
  }

  restart(instance: string): void {
    if (!this.daemons.has(instance)) this.start(instance);
  }

  /** Crashes a daemon. The worst-case units of its running requests count as spent. */
  kill(instance: string): void {
    const daemon = this.daemons.get(instance);
    if (!daemon) return;
    this.spent += daemon.open.reduce((sum, { units }) => sum + units, 0);
    this.#hub.leave(daemon.self);
    this.daemons.delete(instance);
  }

  async stop(instance: string): Promise<void> {
    const daemon = this.daemons.get(instance);
    if (!daemon) return;
    await daemon.allowances.stop();
    this.kill(instance);
  }

  async reserve(instance: string, units: number): Promise<void> {
    const daemon = this.daemons.get(instance);
    if (!daemon) return;
    const reserved = await daemon.allowances.reserve(WORKSPACE, units, 1);
    if (reserved.ok) daemon.open.push({ units });
  }

  settle(instance: string): void {
    const daemon = this.daemons.get(instance);
    const ended = daemon?.open.shift();
    if (!daemon || !ended) return;
    const used = ended.units - this.draw(2) * this.draw(ended.units + 1);
    daemon.allowances.settle(WORKSPACE, ended.units, used);
    this.spent += used;
  }

  /** Units that were spent, or that running requests may still spend. */
  get exposure(): number {
    let open = 0;
    this.daemons.forEach((daemon) => {
      open += daemon.open.reduce((sum, { units }) => sum + units, 0);
    });
    return this.spent + open;
  }

  async step(): Promise<void> {
    const instance = INSTANCES[this.draw(INSTANCES.length)] ?? 'a';
    const kind = this.draw(100);
    if (kind < 50) await this.reserve(instance, 1 + this.draw(60));
    else if (kind < 72) this.settle(instance);
    else if (kind < 85) this.daemons.get(instance)?.allowances.refresh();
    else if (kind < 86) this.kill(instance);
    else if (kind < 88) await this.stop(instance);
    else if (kind < 95) this.restart(instance);
    else if (kind < 96) this.paid += this.draw(40);
    else if (kind < 98) this.store.applyLateWrites();
    else if (kind < 99) this.storeFaults = [0, 0, 30, 100][this.draw(4)] ?? 0;
    else this.linkFaults = [0, 40, 100][this.draw(3)] ?? 0;
  }
}

FLEETS.forEach(({ holders, hasEras, store }) => {
  test(`all of up to ${holders} are holders, ${store}: no order of lost, late and refused calls, crashes and loans spends more than was paid`, async (t) => {
    for (let index = 0; index < SIMULATIONS; index += 1) {
      const seed = DEFAULT_SEED + index;
      const fleet = new SimulatedFleet(randomBelowOf(seed), holders, hasEras);
      for (let step = 0; step < STEPS; step += 1) {
        // Steps run one after the other.
        // eslint-disable-next-line no-await-in-loop
        await fleet.step();
        if (fleet.exposure > fleet.paid) {
          t.fail(`seed ${seed}, step ${step}: ${fleet.exposure} of ${fleet.paid} paid units`);
          return;
        }
      }
    }
    t.pass();
  });

  test(`all of up to ${holders} are holders, ${store}: without crashes, requests are refused only once 97% of the paid units are spent`, async (t) => {
    const fleet = new SimulatedFleet(randomBelowOf(DEFAULT_SEED), holders, hasEras);
    let refusals = 0;
    for (let round = 0; refusals < INSTANCES.length && round < fleet.paid; round += 1) {
      const instance = INSTANCES[round % INSTANCES.length] ?? 'a';
      const daemon = fleet.daemons.get(instance);
      // eslint-disable-next-line no-await-in-loop
      await fleet.reserve(instance, 20);
      const open = daemon?.open.shift();
      if (open) {
        daemon?.allowances.settle(WORKSPACE, open.units, open.units);
        fleet.spent += open.units;
        refusals = 0;
      } else refusals += 1;
    }
    t.true(fleet.spent >= fleet.paid * 0.97, `${fleet.spent} of ${fleet.paid} were spent`);
    t.true(fleet.spent <= fleet.paid);
  });
});
