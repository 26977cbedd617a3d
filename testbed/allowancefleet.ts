/** In-process fleet of daemons that share the prepaid units of one workspace. */
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

/** Workspace whose units all daemons spend. */
export const WORKSPACE = 'lender';

/** Longest time that a request waits for its reservation, in milliseconds. */
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

/** Data centres, size and prepaid units of a fleet. */
export interface FleetShape {
  readonly dataCentres: readonly string[];
  /** Daemons in each data centre. */
  readonly perDataCentre: number;
  /** Units that the workspace has paid for. */
  readonly paid: number;
  /** Up to this number of daemons in a data centre, all of them hold units; default 3. */
  readonly allUpTo?: number;
  /** Whether the store states its era; default false. */
  readonly hasEras?: boolean;
  /** Time for which a daemon waits for the reply of a peer, in milliseconds; default that of a daemon. */
  readonly peerWaitMs?: number;
}

/** Fleet on an in-memory store and network; the test sets the faults of both. */
export class AllowanceFleet {
  readonly store: FaultyStore;

  readonly members = new Map<string, FleetMember>();

  /** Units that were settled, summed over all requests. */
  spent = 0;

  /** Outcome of every store call until it is changed. */
  storeOutcome: CallOutcome = 'answered';

  /** Daemons in a graceful stop. */
  readonly stopping = new Set<Incarnation>();

  /** Whether the daemons believe that the store answers. */
  isStoreUp = true;

  /** Outcome of every request between daemons until it is changed. */
  deliveryOutcome: DeliveryOutcome = 'answered';

  readonly #hub: MemoryHub;

  readonly #dataCentres = new Map<string, string>();

  /**
   * Starts a fleet.
   * @param shape - data centres, number of daemons and paid units
   */
  constructor(readonly shape: FleetShape) {
    this.store = new FaultyStore(() => this.storeOutcome, shape.hasEras ?? false);
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
   * Starts a daemon; a running one of the same instance is replaced by a new incarnation.
   * @param name - instance name
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
      cores: 1,
      // Killed daemons stay listed, as the entries of dead daemons stay in the store.
      daemons: () =>
        [...this.#dataCentres].map(([other, place]) => ({
          name: other,
          dataCentre: place,
          cores: 1,
        })),
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
      ...(this.shape.peerWaitMs !== undefined && { peerWaitMs: this.shape.peerWaitMs }),
      isStoreUp: () => this.isStoreUp,
      isStopping: () => this.stopping.has(self),
    });
    this.members.set(name, { name, self, allowances, holders, recorder, network });
  }

  /**
   * Removes a daemon without a graceful stop, so its rows in the store stay as they are.
   * @param name - instance name
   */
  kill(name: string): void {
    const member = this.members.get(name);
    if (!member) return;
    this.#hub.leave(member.self);
    this.members.delete(name);
  }

  /** Runs the refresh of every daemon, which draws units and returns unused borrowed ones. */
  refresh(): void {
    this.members.forEach(({ allowances }) => allowances.refresh());
  }

  /**
   * Reserves and settles the units of one request.
   * @param member - daemon that serves the request
   * @param worstCase - units to reserve
   * @param used - units to settle
   * @returns whether the reservation succeeded
   */
  async serve({ allowances }: FleetMember, worstCase: number, used: number): Promise<boolean> {
    const reserved = await allowances.reserve(WORKSPACE, worstCase, RESERVE_TIMEOUT_MS);
    if (reserved.err) return false;
    allowances.settle(WORKSPACE, worstCase, used);
    this.spent += used;
    return true;
  }

  /**
   * Serves one request at each daemon in turn and repeats, until all refuse in the same round.
   * @param worstCase - units to reserve for a request
   * @param used - units that a request uses
   * @param rounds - maximum number of rounds
   * @returns rounds in which at least one request was admitted
   */
  async serveAll(worstCase: number, used: number, rounds: number): Promise<number> {
    for (let round = 0; round < rounds; round += 1) {
      let admitted = 0;
      for (const member of this.members.values()) {
        // The requests run one at a time.
        // eslint-disable-next-line no-await-in-loop
        if (await this.serve(member, worstCase, used)) admitted += 1;
      }
      this.refresh();
      if (admitted === 0) return round;
    }
    return rounds;
  }
}
