/** Follows the evacuations in the store, and exchanges them with other daemons while one of them is cut off from it. */
import { Follower } from '../store/index.js';
import { Evacuations } from './evacuations.js';

import type { Clock } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectChange, Snapshot, SnapshotStore, StoreError } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { EvacuationReport, StorePoint } from './evacuations.js';
import type { GatewayMetrics } from './metrics.js';
import type { AwaitedEvacuation } from './startnews.js';

/**
 * Longest wait of a watch, as a share of the time in which an evacuation must be in force: a connection that went
 * silent is noticed when the wait is over.
 */
const WAIT_SHARE = 0.7;

/** Number of other daemons that are told of each change that the store reports. */
const TOLD_PEERS = 3;

/** Interval at which another daemon is asked while the store does not answer, in milliseconds. */
const ASK_INTERVAL_MS = 1_000;

/** Timeout of a message to another daemon, in milliseconds. */
const MESSAGE_TIMEOUT_MS = 1_000;

/** Dependencies of the watch. */
export interface EvacuationWatchConfig {
  readonly store: SnapshotStore;
  /** Key prefix of the evacuations; the rest of a key is the name of a data centre. */
  readonly prefix: string;
  /** Time in which an evacuation must be in force, in milliseconds. */
  readonly evacuateMs: number;
  /** Longest time for which the store holds a watch, in milliseconds. */
  readonly watchMs: number;
  readonly clock: Clock;
  readonly recorder: Recorder;
  readonly metrics: GatewayMetrics;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
  /** Called when the evacuation of a data centre ends. */
  readonly onEnded: (dataCentre: string) => void;
  /** Called when the first of several calls to the store has failed. */
  readonly onLost: (err: StoreError) => void;
  /** Called when the store answers again. */
  readonly onRegained: () => void;
}

/** Keeps the evacuations up to date. */
export class EvacuationWatch {
  readonly evacuations = new Evacuations();

  readonly follower: Follower;

  #network: PeerNetwork | undefined;

  #isLost = false;

  #askTimer: NodeJS.Timeout | undefined;

  /** Evacuated data centres as last logged. */
  #logged: readonly string[] = [];

  /**
   * Creates the watch; nothing is read before its follower runs.
   * @param cfg - dependencies
   */
  constructor(private readonly cfg: EvacuationWatchConfig) {
    const { store, prefix, clock, recorder } = cfg;
    const events = {
      onSnapshot: ({ objects, position }: Snapshot) =>
        this.#apply('store', () => {
          const dataCentres = objects.map(({ key }) => this.#nameOf(key));
          this.evacuations.applyListing({ ...this.#pointOf(position), dataCentres }, clock.now());
        }),
      onChanges: (changes: readonly ObjectChange[], position: number) =>
        this.#apply('store', () => {
          const changed = changes.map(({ key, value }) => ({
            dataCentre: this.#nameOf(key),
            isEvacuated: value !== null && value !== undefined,
          }));
          this.evacuations.applyChanges(changed, this.#pointOf(position));
        }),
      onLost: (err: StoreError) => {
        this.#isLost = true;
        cfg.onLost(err);
      },
      onRegained: () => {
        this.#isLost = false;
        cfg.onRegained();
      },
      onHandlerError: (err: unknown) => {
        recorder.record('storeHandlerFailed', { detail: String(err), facts: { prefix } });
      },
    };
    const waitMs = Math.min(cfg.watchMs, cfg.evacuateMs * WAIT_SHARE);
    this.follower = new Follower(store, prefix, events, clock, waitMs);
  }

  /**
   * Starts to exchange evacuations with other daemons.
   * @param network - links to them
   */
  join(network: PeerNetwork): void {
    this.#network = network;
    network.handle('evacuationsTold', ({ report }) => {
      this.#adopt(report);
      return this.#message();
    });
    this.#askTimer = setInterval(() => {
      if (this.#isLost || !this.evacuations.isKnown) this.#tell(1);
      this.#record('grace');
    }, ASK_INTERVAL_MS);
    this.#askTimer.unref();
  }

  /**
   * Checks whether a data centre counts as evacuated. One whose grace period is over does so until its end was reported,
   * as its upstreams may be cold.
   * @param dataCentre - its name
   * @param now - current time, in milliseconds
   * @returns whether its upstreams may receive no requests
   */
  isEvacuated(dataCentre: string, now: number): boolean {
    return this.evacuations.has(dataCentre, now) || this.#logged.includes(dataCentre);
  }

  /**
   * Takes over evacuations that the store lacks, from a daemon that knew them before.
   * @param awaited - the evacuations
   * @param now - current time, in milliseconds
   */
  await(awaited: readonly AwaitedEvacuation[], now: number): void {
    this.#apply('peer', () => this.evacuations.await(awaited, now));
  }

  /** Stops the exchange. */
  stop(): void {
    clearInterval(this.#askTimer);
  }

  #nameOf(key: string): string {
    return key.slice(this.cfg.prefix.length);
  }

  /** The point of a position. Positions of different daemons cannot be compared over a rise of the era. */
  #pointOf(position: number): StorePoint {
    const { era } = this.cfg.store;
    return { era: era.current ?? 0, revision: era.revisionOf(position) ?? 0 };
  }

  #message(): { readonly type: 'evacuationsTold'; readonly report?: EvacuationReport } {
    const { report } = this.evacuations;
    return { type: 'evacuationsTold', ...(report && { report }) };
  }

  /** Exchanges reports with some other daemons: both then know the newer one. */
  #tell(count: number): void {
    const network = this.#network;
    if (!network) return;
    const left = [...network.peers()];
    for (let told = 0; told < count && left.length > 0; told += 1) {
      const [peer] = left.splice(Math.floor(this.cfg.random() * left.length), 1);
      const req = {
        to: peer?.name ?? '',
        body: this.#message(),
        reply: 'evacuationsTold',
        timeoutMs: MESSAGE_TIMEOUT_MS,
      } as const;
      void network.request(req).then((replied) => {
        if (replied.ok) this.#adopt(replied.val.report);
      });
    }
  }

  #adopt(report: EvacuationReport | undefined): void {
    if (report)
      this.#apply('peer', () => this.evacuations.applyReport(report, this.cfg.clock.now()));
  }

  #apply(source: 'store' | 'peer', change: () => void): void {
    change();
    this.#record(source);
  }

  /** Logs what is evacuated if that is different now, because of a report or the end of a grace period. */
  #record(source: 'store' | 'peer' | 'grace'): void {
    const { clock, recorder, metrics } = this.cfg;
    const before = this.#logged;
    const inForce = this.evacuations.dataCentres(clock.now());
    const ended = before.filter((name) => !inForce.includes(name));
    if (ended.length === 0 && inForce.length === before.length) return;
    this.#logged = inForce;
    const facts = {
      source,
      inForce: inForce.join(',') || 'none',
      before: before.join(',') || 'none',
      revision: this.evacuations.report?.revision ?? 0,
    };
    metrics.evacuatedDataCentres.set(inForce.length);
    metrics.evacuationChanges.inc({ source });
    recorder.record('evacuationsChanged', { facts });
    ended.forEach(this.cfg.onEnded);
    if (source === 'store') this.#tell(TOLD_PEERS);
  }
}
