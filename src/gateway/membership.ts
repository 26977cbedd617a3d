/** Registers this daemon in the store, finds the others there and keeps links to them. */

import { isDeepStrictEqual } from 'node:util';

import { instanceOf } from '../kernel/index.js';
import { WsPeerNetwork } from '../link/index.js';
import { AfterEachRise, Follower } from '../store/index.js';
import { LineLimit } from '../telemetry/index.js';
import { FleetKey } from './fleetkey.js';
import { DAEMONS_PREFIX, FollowedInstances } from './followedinstances.js';

import type { Clock, Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectChange, SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { RegisteredDaemon } from './followedinstances.js';

/**
 * Longest time for which the store holds one watch of the daemon list, in milliseconds. It is long, as no
 * decision depends on an up-to-date list.
 */
const WATCH_TIMEOUT_MS = 20_000;

/**
 * Pause of the watch after a change of the daemon list, in milliseconds: the changes of a starting fleet
 * then arrive in a few calls.
 */
const WATCH_PAUSE_MS = 2_000;

/** Maximum number of log lines on unreadable entries of daemons in one period. */
const UNREADABLE_LINES = 10;

/** Period of the limit on these log lines, in milliseconds. */
const UNREADABLE_PERIOD_MS = 10_000;

/** Options of a membership. */
export interface MembershipConfig {
  readonly self: Incarnation;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  /** Processor capacity of this instance, in cores. */
  readonly cores: number;
  readonly store: SnapshotStore;
  readonly recorder: Recorder;
  readonly clock: Clock;
}

/** Writes the entry of this daemon, follows the entries of the others and owns the links to them. */
export class Membership {
  readonly #follower: Follower;

  readonly #unreadableLines = new LineLimit(UNREADABLE_LINES, UNREADABLE_PERIOD_MS);

  readonly #registering: AfterEachRise;

  #resolveListed: () => void = () => undefined;

  /** Resolves when the list of daemons has been read for the first time. */
  readonly listed = new Promise<void>((resolve) => {
    this.#resolveListed = resolve;
  });

  private constructor(
    private readonly cfg: MembershipConfig,
    private readonly links: WsPeerNetwork,
    private readonly instances: FollowedInstances,
    private readonly fleetKey: FleetKey,
  ) {
    this.#registering = new AfterEachRise(cfg.store.era, () => this.#register());
    this.#follower = new Follower(
      cfg.store,
      DAEMONS_PREFIX,
      {
        onSnapshot: ({ objects, position }) => {
          objects.forEach((object) => this.#apply(object));
          this.#recordMembers(position);
          this.#resolveListed();
        },
        onChanges: (changes) => {
          changes.forEach((change) => this.#apply(change));
          this.#recordMembers(Math.max(...changes.map(({ version }) => version)));
        },
        onLost: () => undefined,
        onRegained: () => undefined,
        onHandlerError: (err) => {
          const facts = { prefix: DAEMONS_PREFIX };
          cfg.recorder.record('storeHandlerFailed', { detail: String(err), facts });
        },
      },
      cfg.clock,
      WATCH_TIMEOUT_MS,
      WATCH_PAUSE_MS,
    );
  }

  /**
   * Reads or creates the secret of the peer links and creates the membership; "start" opens the links.
   * @param cfg - identity, address and store
   * @returns the membership, once the store has answered
   */
  static async join(cfg: MembershipConfig): Promise<Membership> {
    const instances = new FollowedInstances();
    const { self, host, port, store, recorder, clock } = cfg;
    const fleetKey = await FleetKey.join(store, recorder, clock);
    const links = new WsPeerNetwork({
      self,
      get fleetKey() {
        return fleetKey.current;
      },
      onRefused: () => fleetKey.check(),
      host,
      port,
      directory: instances,
      recorder,
    });
    return new Membership(cfg, links, instances, fleetKey);
  }

  /** Links to the other daemons. */
  get network(): PeerNetwork {
    return this.links;
  }

  /** Daemons with an entry in the store, possibly including this one. */
  get daemons(): readonly RegisteredDaemon[] {
    return this.instances.instances();
  }

  /** Number of daemons with an entry in the store. */
  get size(): number {
    return this.instances.size;
  }

  /** Opens the listener for peers, registers this daemon and follows the list of daemons. */
  start(): void {
    this.links.start();
    void this.#follower.run();
    void this.#registering.run();
  }

  /** Stops following the list and closes the links; the entry of this daemon stays in the store. */
  async stop(): Promise<void> {
    this.#registering.stop();
    this.fleetKey.stop();
    this.#follower.stop();
    await this.links.stop();
  }

  #apply(change: ObjectChange): void {
    if (this.instances.change(change)) return;
    const suppressed = this.#unreadableLines.admit(this.cfg.clock.now());
    if (suppressed === undefined) return;
    const { key, version } = change;
    const facts = { revision: version, suppressed };
    this.cfg.recorder.record('daemonUnreadable', { peer: key, facts });
  }

  #recordMembers(revision: number): void {
    const facts = {
      registered: this.daemons.length,
      reachable: this.network.peers().length,
      revision,
    };
    this.cfg.recorder.record('daemonsListed', { facts });
  }

  /** Writes the entry of this daemon unless it is stored; returns whether it is then. */
  async #register(): Promise<boolean> {
    const { self, store, dataCentre, host, port, cores, recorder } = this.cfg;
    const key = `${DAEMONS_PREFIX}${instanceOf(self)}`;
    const value = { dataCentre, peerAddress: `${host}:${port}`, cores };
    const found = await store.read(key);
    if (found.err) return false;
    if (isDeepStrictEqual(found.val.value, value)) return true;
    const written = await store.write(key, value, found.val.version);
    const before = found.val.version === 0 ? 'missing' : 'another one';
    if (written.ok && store.era.rises > 0) {
      recorder.record('storeWrittenAgain', { facts: { key, before } });
    }
    return written.ok;
  }
}
