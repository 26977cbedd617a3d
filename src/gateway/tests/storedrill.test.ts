import test from 'ava';

import { EraFleet } from '../../../testbed/eraallowances.js';
import { DEFAULT_SEED, seededRandom } from '../../../testbed/seed.js';

import type { EraDaemon } from '../../../testbed/eraallowances.js';
import type { CallOutcome } from '../../../testbed/faultystore.js';
import type { DeliveryOutcome } from '../../../testbed/memorynetwork.js';

const NAMES = ['a', 'b', 'c', 'd'];
const PAID = 1_500;
const SIMULATIONS = 60;
const STEPS = 120;

/** Most requests that come at once, just before a restore. */
const BURST = 6;

/** Age of the oldest copy, in milliseconds. */
const COPY_AGE_MS = 8_000;

/** Time in which at most one daemon is lost: the age of the oldest copy, and the wait for silent instances. */
const LOSS_INTERVAL_MS = 16_000;

/** Units of the requests that spend the rest. */
const SMALL_REQUEST = 15;

/** Rounds in which all daemons must refuse until the units count as spent. */
const IDLE_ROUNDS = 25;

const STORE_FAULTS: readonly CallOutcome[] = ['lost-before', 'lost-after', 'late', 'refused'];
const LINK_FAULTS: readonly DeliveryOutcome[] = ['lost-before', 'lost-after'];

/** Serves requests at all daemons in turn until all refuse for a while; returns the units spent. */
async function spendAll(fleet: EraFleet, units: number): Promise<number> {
  for (let idle = 0; idle < IDLE_ROUNDS && fleet.exposure <= fleet.paid; idle += 1) {
    fleet.advance(250);
    // eslint-disable-next-line no-await-in-loop
    await fleet.refresh();
    for (const name of fleet.daemons.keys()) {
      // eslint-disable-next-line no-await-in-loop
      if (await fleet.reserve(name, units)) {
        fleet.settle(name, (used) => used);
        idle = 0;
      }
    }
  }
  return fleet.spent;
}

/** Schedule of requests, restores, lost and late answers, restarts and cuts. */
class DrillSchedule {
  readonly fleet: EraFleet;

  #storeFaults = 0;

  #linkFaults = 0;

  #lostAt = -LOSS_INTERVAL_MS;

  drills = 0;

  readonly #random: () => number;

  constructor(seed: number, allUpTo: number) {
    this.#random = seededRandom(seed);
    this.fleet = new EraFleet({
      names: NAMES,
      paid: PAID,
      allUpTo,
      exposure: 0.1,
      storeOutcome: () => this.#fault(this.#storeFaults, STORE_FAULTS),
      linkOutcome: () => this.#fault(this.#linkFaults, LINK_FAULTS),
    });
  }

  #below(limit: number): number {
    return Math.floor(this.#random() * limit);
  }

  #fault<Outcome extends string>(
    percent: number,
    faults: readonly Outcome[],
  ): Outcome | 'answered' {
    if (this.#below(100) >= percent) return 'answered';
    return faults[this.#below(faults.length)] ?? 'answered';
  }

  /** Whether one more daemon may be lost: copies of its draws are at few peers. */
  #mayLose(): boolean {
    const { clock } = this.fleet;
    if (clock.at - this.#lostAt < LOSS_INTERVAL_MS) return false;
    this.#lostAt = clock.at;
    return true;
  }

  async step(): Promise<void> {
    const { fleet } = this;
    fleet.advance(20 + this.#below(400));
    const name = NAMES[this.#below(NAMES.length)] ?? 'a';
    const kind = this.#below(100);
    if (kind < 40) await fleet.reserve(name, 1 + this.#below(60));
    else if (kind < 58) fleet.settle(name, (units) => units - this.#below(2) * this.#below(units));
    else if (kind < 74) await fleet.refresh();
    else if (kind < 78) await this.#drillAfterDraws(name);
    else if (kind < 82) this.#drill();
    else if (kind < 84 && this.#mayLose()) fleet.kill(name);
    else if (kind < 85 && this.#mayLose()) await fleet.stop(name);
    else if (kind < 90) fleet.start(name);
    else if (kind < 91) fleet.cut(name, false);
    else if (kind < 92 && this.#mayLose()) fleet.cut(name, true);
    else if (kind < 93) fleet.pay(this.#below(40));
    else if (kind < 96) fleet.store.applyLateWrites();
    else if (kind < 98) this.#storeFaults = [0, 0, 30, 100][this.#below(4)] ?? 0;
    else this.#linkFaults = [0, 0, 40][this.#below(3)] ?? 0;
  }

  #drill(): void {
    this.drills += 1;
    this.fleet.drill(this.#below(COPY_AGE_MS));
  }

  /** Has a daemon draw units, and the store forget it; the daemon may be lost with it. */
  async #drillAfterDraws(name: string): Promise<void> {
    const { fleet } = this;
    const linkFaults = this.#linkFaults;
    // No other daemon then has a copy of the draws.
    if (this.#below(2) === 0) this.#linkFaults = 100;
    for (let sent = this.#below(BURST); sent >= 0; sent -= 1) {
      // Requests come one after the other.
      // eslint-disable-next-line no-await-in-loop
      await fleet.reserve(name, 20 + this.#below(60));
    }
    this.#linkFaults = linkFaults;
    const isLost = this.#below(2) === 0 && this.#mayLose();
    if (isLost) fleet.kill(name);
    fleet.advance(this.#below(100));
    this.drills += 1;
    fleet.drill(100 + this.#below(2_000));
    if (isLost && this.#below(2) === 0) fleet.start(name);
  }

  /** Ends all faults and spends what is left, so that units granted twice are spent twice. */
  async spendRest(): Promise<void> {
    const { fleet } = this;
    this.#storeFaults = 0;
    this.#linkFaults = 0;
    NAMES.forEach((name) => fleet.start(name));
    NAMES.forEach((name) => fleet.cut(name, false));
    fleet.store.applyLateWrites();
    await spendAll(fleet, SMALL_REQUEST);
  }
}

[4, 1].forEach((allUpTo) => {
  test(`all of up to ${allUpTo} are holders: no order of restores, lost and late calls, restarts and cuts spends more than was paid`, async (t) => {
    const overspent: string[] = [];
    let drills = 0;
    for (let index = 0; index < SIMULATIONS; index += 1) {
      const seed = DEFAULT_SEED + index;
      const schedule = new DrillSchedule(seed, allUpTo);
      const { fleet } = schedule;
      for (let step = 0; step < STEPS && fleet.exposure <= fleet.paid; step += 1) {
        // Steps run one after the other.
        // eslint-disable-next-line no-await-in-loop
        await schedule.step();
      }
      // eslint-disable-next-line no-await-in-loop
      await schedule.spendRest();
      drills += schedule.drills;
      if (fleet.exposure > fleet.paid)
        overspent.push(`seed ${seed}: ${fleet.exposure} of ${fleet.paid}`);
    }
    t.deepEqual(overspent, []);
    t.true(drills > SIMULATIONS, `${drills} restores`);
  });
});

async function serve(fleet: EraFleet, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    fleet.advance(100);
    // eslint-disable-next-line no-await-in-loop
    await fleet.refresh();
    for (const name of fleet.daemons.keys()) {
      // eslint-disable-next-line no-await-in-loop
      if (await fleet.reserve(name, 10)) fleet.settle(name, (used) => used);
    }
  }
}

interface DrillCase {
  readonly name: string;
  readonly play: (fleet: EraFleet) => Promise<void> | void;
}

const CASES: readonly DrillCase[] = [
  { name: 'a copy of 3 s', play: (fleet) => fleet.drill(3_000) },
  { name: 'a copy from before the first draw', play: (fleet) => fleet.drill(60_000) },
  {
    name: 'two restores in a row',
    play: async (fleet) => {
      fleet.drill(3_000);
      await serve(fleet, 1);
      fleet.drill(2_000);
    },
  },
  {
    name: 'one daemon killed and started again',
    play: (fleet) => {
      fleet.drill(3_000);
      fleet.kill('b');
      fleet.start('b');
    },
  },
  {
    name: 'one daemon killed for good',
    play: (fleet) => {
      fleet.drill(3_000);
      fleet.kill('b');
    },
  },
  {
    name: 'one daemon killed and started again before the restore',
    play: async (fleet) => {
      fleet.kill('b');
      fleet.start('b');
      await serve(fleet, 3);
      fleet.drill(3_000);
    },
  },
  {
    name: 'all daemons killed and started again',
    play: (fleet) => {
      fleet.drill(1_000);
      NAMES.forEach((name) => fleet.kill(name));
      NAMES.forEach((name) => fleet.start(name));
    },
  },
  {
    name: 'a top-up that is lost and written again',
    play: async (fleet) => {
      fleet.pay(200);
      await serve(fleet, 2);
      fleet.pay(-200);
      fleet.drill(3_000);
      await serve(fleet, 2);
      fleet.pay(200);
    },
  },
  {
    name: 'a daemon that is cut off over the restore',
    play: async (fleet) => {
      fleet.cut('c', true);
      fleet.drill(3_000);
      await serve(fleet, 60);
      fleet.cut('c', false);
    },
  },
];

CASES.forEach(({ name, play }) => {
  test(`after ${name}, at least 90% of the paid units are spent and none twice`, async (t) => {
    const fleet = new EraFleet({ names: NAMES, paid: 6_000, allUpTo: 4, exposure: 0.1 });
    await serve(fleet, 40);
    const members: readonly EraDaemon[] = [...fleet.daemons.values()];
    await play(fleet);
    await spendAll(fleet, 10);
    t.log(`${fleet.spent} of ${fleet.paid}`);
    t.true(fleet.spent <= fleet.paid, `${fleet.spent} of ${fleet.paid} were spent`);
    t.true(fleet.spent >= fleet.paid * 0.9, `${fleet.spent} of ${fleet.paid} were spent`);
    t.deepEqual(
      members.filter(({ isFenced }) => isFenced).map(({ self }) => self),
      [],
    );
  });
});

[true, false].forEach((isPredecessorFirst) => {
  const order = isPredecessorFirst ? 'before' : 'after';
  test(`a predecessor that writes its row again ${order} its successor draws is fenced, and only it`, async (t) => {
    const fleet = new EraFleet({ names: NAMES, paid: 6_000, allUpTo: 4, exposure: 0.1 });
    await serve(fleet, 20);
    const predecessor = fleet.succeed('b');
    fleet.drill(1_000);
    if (isPredecessorFirst) predecessor?.allowances.refresh();
    await serve(fleet, 30);
    for (let round = 0; round < 3; round += 1) {
      fleet.advance(1_000);
      // A daemon follows other objects of the store, and so sees its era.
      // eslint-disable-next-line no-await-in-loop
      await predecessor?.store.read('configuration/any');
      predecessor?.allowances.refresh();
      // eslint-disable-next-line no-await-in-loop
      await fleet.refresh();
    }
    t.true(predecessor?.isFenced);
    t.false([...fleet.daemons.values()].some(({ isFenced }) => isFenced));
    t.true((await spendAll(fleet, 10)) <= fleet.paid);
  });
});
