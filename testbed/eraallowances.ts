/** In-process fleet whose store comes back from older copies, on a clock that the test moves. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { pino } from 'pino';

import { Allowances } from '../src/gateway/allowances.js';
import { Holders } from '../src/gateway/holders.js';
import { SystemClock } from '../src/kernel/index.js';
import { Recorder } from '../src/telemetry/index.js';
import { EraStore } from './erastore.js';
import { FaultyStore } from './faultystore.js';
import { MemoryHub } from './memoryhub.js';
import { MovedClock } from './movedclock.js';

import type { Incarnation } from '../src/kernel/index.js';
import type { CallOutcome, StoreCopy } from './faultystore.js';
import type { DeliveryOutcome } from './memorynetwork.js';

/** Workspace whose units all daemons spend. */
const WORKSPACE = 'lender';

/** Turns of the event loop in which the calls of a refresh end. */
const CALL_TURNS = 6;

/** One daemon, and the worst-case units of its running requests. */
export interface EraDaemon {
  readonly name: string;
  readonly self: Incarnation;
  readonly allowances: Allowances;
  readonly store: EraStore;
  readonly recorder: Recorder;
  readonly open: number[];
  /** Set when a later incarnation has closed its row. */
  isFenced: boolean;
}

/** State of the store at a time. */
interface TimedCopy {
  readonly at: number;
  readonly copy: StoreCopy;
}

/** Options of a fleet. */
export interface EraFleetOptions {
  readonly names: readonly string[];
  readonly paid: number;
  /** Up to this number of daemons, all of them hold units. */
  readonly allUpTo: number;
  /** Fraction of the unspent units that the daemons keep available; default 0.5. */
  readonly exposure?: number;
  /** Returns the outcome of the next call to the store. */
  readonly storeOutcome?: () => CallOutcome;
  /** Returns the outcome of the next message. */
  readonly linkOutcome?: () => DeliveryOutcome;
}

/** Fleet whose store can be restored from an older copy. */
export class EraFleet {
  readonly clock = new MovedClock();

  readonly daemons = new Map<string, EraDaemon>();

  readonly store: FaultyStore;

  paid: number;

  /** Units that ended requests used. */
  spent = 0;

  /** Whether the daemons believe that the store answers. */
  isStoreUp = true;

  readonly #hub: MemoryHub;

  #copies: readonly TimedCopy[] = [];

  /** Number of processes so far; their names are the same in each run of a seed. */
  #incarnations = 0;

  /**
   * Starts a fleet.
   * @param options - daemons, paid units and faults
   */
  constructor(private readonly options: EraFleetOptions) {
    this.paid = options.paid;
    this.store = new FaultyStore(options.storeOutcome ?? (() => 'answered'));
    this.#hub = new MemoryHub(options.linkOutcome ?? (() => 'answered'));
    this.advance(0);
    options.names.forEach((name) => this.start(name));
  }

  /**
   * Starts a daemon, unless one of this name runs.
   * @param name - instance name
   */
  start(name: string): void {
    if (this.daemons.has(name)) return;
    this.#incarnations += 1;
    const self = `${name}~${this.#incarnations}`;
    const sinks = { logger: pino({ level: 'silent' }), metrics: undefined };
    const recorder = new Recorder(self, new SystemClock(), sinks);
    const network = this.#hub.join(self);
    const store = new EraStore(this.store);
    const { clock, options } = this;
    const registered = (): readonly string[] => options.names;
    // Instances that are down stay registered.
    network.peers = () =>
      registered()
        .filter((other) => other !== name)
        .map((other) => ({ name: other, dataCentre: 'x', peerAddress: '', state: 'live' }));
    const allowances = new Allowances({
      self,
      store,
      network,
      recorder,
      clock,
      holders: new Holders({
        self,
        dataCentre: 'x',
        cores: 1,
        daemons: () => registered().map((other) => ({ name: other, dataCentre: 'x', cores: 1 })),
        clock,
        allUpTo: options.allUpTo,
      }),
      policy: () => ({
        aloneSeconds: 10,
        exposure: options.exposure ?? 0.5,
        idlePart: 0.6,
        daemons: options.names.length,
        smoothingMs: 500,
      }),
      shards: 1,
      paidOf: () => this.paid,
      workspaces: () => [WORKSPACE],
      isStoreUp: () => this.isStoreUp,
      isStopping: () => false,
    });
    const daemon = { name, self, allowances, store, recorder, open: [], isFenced: false };
    allowances.whenFenced(() => {
      daemon.isFenced = true;
    });
    this.daemons.set(name, daemon);
  }

  /**
   * Starts the successor of a daemon that goes on running.
   * @param name - instance name
   * @returns the predecessor, which still reaches the store and the others
   */
  succeed(name: string): EraDaemon | undefined {
    const predecessor = this.daemons.get(name);
    this.daemons.delete(name);
    this.start(name);
    return predecessor;
  }

  /**
   * Ends a daemon at once. The worst-case units of its running requests count as spent.
   * @param name - instance name
   */
  kill(name: string): void {
    const daemon = this.daemons.get(name);
    if (!daemon) return;
    this.spent += daemon.open.reduce((sum, units) => sum + units, 0);
    this.#hub.leave(daemon.self);
    daemon.store.isCut = true;
    this.daemons.delete(name);
  }

  /**
   * Stops a daemon gracefully.
   * @param name - instance name
   */
  async stop(name: string): Promise<void> {
    await this.daemons.get(name)?.allowances.stop();
    this.kill(name);
  }

  /**
   * Cuts a daemon from the store and from all others, or connects it again.
   * @param name - instance name
   * @param isCut - whether it is cut
   */
  cut(name: string, isCut: boolean): void {
    const daemon = this.daemons.get(name);
    if (!daemon) return;
    daemon.store.isCut = isCut;
    this.#hub.setCut(daemon.self, isCut);
  }

  /**
   * Pays for more units, or takes a payment back.
   * @param units - units; negative to take them back
   */
  pay(units: number): void {
    this.paid += units;
  }

  /**
   * Moves the clock.
   * @param ms - milliseconds
   */
  advance(ms: number): void {
    this.clock.at += ms;
    this.#copies = [...this.#copies, { at: this.clock.at, copy: this.store.copy() }].slice(-400);
  }

  /**
   * Restores the store from a copy.
   * @param ageMs - least age of the copy, in milliseconds
   */
  drill(ageMs: number): void {
    const before = this.#copies.filter(({ at }) => at <= this.clock.at - ageMs);
    const chosen = before.at(-1) ?? this.#copies[0];
    if (!chosen) return;
    this.store.comeBack(chosen.copy);
    this.#copies = before.length > 0 ? before : this.#copies.slice(0, 1);
  }

  /**
   * Begins a request.
   * @param name - instance name
   * @param units - worst-case units
   * @returns whether it is admitted
   */
  async reserve(name: string, units: number): Promise<boolean> {
    const daemon = this.daemons.get(name);
    if (!daemon) return false;
    const reserved = await daemon.allowances.reserve(WORKSPACE, units, 1);
    if (reserved.ok) daemon.open.push(units);
    return reserved.ok;
  }

  /**
   * Ends the oldest request of a daemon.
   * @param name - instance name
   * @param usedOf - returns the used units of the worst-case units
   */
  settle(name: string, usedOf: (units: number) => number): void {
    const daemon = this.daemons.get(name);
    const units = daemon?.open.shift();
    if (!daemon || units === undefined) return;
    const used = usedOf(units);
    daemon.allowances.settle(WORKSPACE, units, used);
    this.spent += used;
  }

  /** Refreshes every daemon and lets their calls end. */
  async refresh(): Promise<void> {
    this.daemons.forEach(({ allowances }) => allowances.refresh());
    for (let turn = 0; turn < CALL_TURNS; turn += 1) {
      // eslint-disable-next-line no-await-in-loop
      await nextTurn();
    }
  }

  /** Units that were spent, or that running requests may still spend. */
  get exposure(): number {
    const open = [...this.daemons.values()].flatMap((daemon) => daemon.open);
    return this.spent + open.reduce((sum, units) => sum + units, 0);
  }
}
