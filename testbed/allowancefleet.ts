/** A fleet of daemons that spend the units of one workspace, inside one process. */
import { pino } from 'pino';

import { Allowances } from '../src/gateway/allowances.js';
import { Holders } from '../src/gateway/holders.js';
import { newIncarnation, SteadyClock, SystemClock } from '../src/kernel/index.js';
import { Recorder } from '../src/telemetry/index.js';
import { FaultyStore } from './faultystore.js';
import { MemoryHub } from './memoryhub.js';

import type { Incarnation } from '../src/kernel/index.js';
import type { PeerNetwork } from '../src/link/index.js';
import type { CallOutcome } from './faultystore.js';
import type { DeliveryOutcome } from './memorynetwork.js';

/** Workspace that everybody spends from. */
export const WORKSPACE = 'lender';

/** Longest wait of a request for its units, in milliseconds. */
const RESERVE_TIMEOUT_MS = 200;

/** One daemon of the fleet. */
export interface FleetMember {
  readonly name: string;
  readonly self: Incarnation;
  readonly allowances: Allowances;
  readonly holders: Holders;
  readonly recorder: Recorder;
  readonly network: PeerNetwork;
}

/** Size and place of a fleet. */
export interface FleetShape {
  readonly dataCentres: readonly string[];
  readonly perDataCentre: number;
  readonly paid: number;
  /** Most daemons of a data centre in which all of them keep units; default 3. */
  readonly allUpTo?: number;
}

/** Daemons on a sound store and links that the test may harm. */
export class AllowanceFleet {
  readonly store = new FaultyStore(() => this.storeOutcome);

  readonly members = new Map<string, FleetMember>();

  /** Units that were settled. */
  spent = 0;

  /** What becomes of the next call to the store. */
  storeOutcome: CallOutcome = 'answered';

  /** What becomes of the next message. */
  deliveryOutcome: DeliveryOutcome = 'answered';

  readonly #hub: MemoryHub;

  readonly #dataCentres = new Map<string, string>();

  /**
   * Starts a fleet.
   * @param shape - data centres, daemons and what was paid
   */
  constructor(readonly shape: FleetShape) {
    this.#hub = new MemoryHub(
      () => this.deliveryOutcome,
      (name) => this.#dataCentres.get(name) ?? '',
    );
    shape.dataCentres.forEach((dataCentre) => {
      for (let index = 0; index < shape.perDataCentre; index += 1) {
        this.#dataCentres.set(`${dataCentre}-${index}`, dataCentre);
      }
    });
    [...this.#dataCentres.keys()].forEach((name) => this.start(name));
  }

  /**
   * Delays every reply between daemons.
   * @param delayMs - milliseconds
   */
  delay(delayMs: number): void {
    this.#hub.delayMs = delayMs;
  }

  /**
   * Starts a daemon, in place of an earlier life of it.
   * @param name - its instance
   */
  start(name: string): void {
    const self = newIncarnation(name);
    const dataCentre = this.#dataCentres.get(name) ?? '';
    const clock = new SteadyClock();
    const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
    const recorder = new Recorder(self, new SystemClock(), sinks);
    const holders = new Holders({
      self,
      dataCentre,
      // Entries of the dead stay in the store.
      daemons: () =>
        [...this.#dataCentres].map(([other, place]) => ({ name: other, dataCentre: place })),
      clock,
      allUpTo: this.shape.allUpTo ?? 3,
    });
    const network = this.#hub.join(self);
    const allowances = new Allowances({
      self,
      store: this.store,
      network,
      recorder,
      clock,
      holders,
      policy: () => ({
        aloneSeconds: 10,
        exposure: holders.isHolder(WORKSPACE) ? 0.2 : 0,
        idlePart: 0.5,
        daemons: holders.count(WORKSPACE),
        smoothingMs: 8_000,
      }),
      shards: 1,
      paidOf: () => this.shape.paid,
      workspaces: () => [WORKSPACE],
      isStoreUp: () => true,
    });
    this.members.set(name, { name, self, allowances, holders, recorder, network });
  }

  /**
   * Kills a daemon.
   * @param name - its instance
   */
  kill(name: string): void {
    const member = this.members.get(name);
    if (!member) return;
    this.#hub.leave(member.self);
    this.members.delete(name);
  }

  /** Lets every daemon report and draw, as it does at intervals. */
  refresh(): void {
    this.members.forEach(({ allowances }) => allowances.refresh());
  }

  /**
   * Serves one request.
   * @param member - the daemon that takes it
   * @param worstCase - units that it may use
   * @param used - units that it uses
   * @returns whether it was admitted
   */
  async serve({ allowances }: FleetMember, worstCase: number, used: number): Promise<boolean> {
    const reserved = await allowances.reserve(WORKSPACE, worstCase, RESERVE_TIMEOUT_MS);
    if (reserved.err) return false;
    allowances.settle(WORKSPACE, worstCase, used);
    this.spent += used;
    return true;
  }

  /**
   * Serves requests at all daemons in turn, until all of them in a row refuse.
   * @param worstCase - units that a request may use
   * @param used - units that it uses
   * @param rounds - most rounds
   * @returns rounds that were played
   */
  async serveAll(worstCase: number, used: number, rounds: number): Promise<number> {
    for (let round = 0; round < rounds; round += 1) {
      let admitted = 0;
      for (const member of this.members.values()) {
        // Requests follow one another.
        // eslint-disable-next-line no-await-in-loop
        if (await this.serve(member, worstCase, used)) admitted += 1;
      }
      this.refresh();
      if (admitted === 0) return round;
    }
    return rounds;
  }
}
