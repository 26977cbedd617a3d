/** Composes the tasks of one gateway daemon. */
import { makeRecorder } from '../daemon/recording.js';
import { splitAddress } from '../daemon/settings.js';
import { SteadyClock } from '../kernel/index.js';
import { RetryBudget } from '../route/index.js';
import { Allowances } from './allowances.js';
import { Announcements } from './announcements.js';
import { FleetView } from './fleetview.js';
import { InForce } from './inforce.js';
import { Membership } from './membership.js';
import { GatewayMetrics } from './metrics.js';

import type { PlacementOptions } from '../route/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { PlatformAdapter } from './adapter.js';
import type { CallContext } from './callrun.js';
import type { GatewaySettings } from './settings.js';

/** Part of the fleet's repeats that is left unused: daemons do not see each other's. */
const RETRY_MARGIN = 0.7;

/** Daemons that the repeats of a fleet are divided between at least. */
const MIN_DAEMONS = 8;

/** Time constant of the measured use of prepaid units, in milliseconds: some reports long. */
const DEMAND_MS = 8_000;

/** Delays that a placement counts with beside the reading of prompts. */
const DELAYS: Omit<PlacementOptions, 'tokensPerMs'> = {
  // A request more in a batch lengthens each step by hundredths of a millisecond.
  loadMs: 0.3,
  // A whole answer of the model pool takes about this long.
  slotMs: 1_500,
  // Both ways between two data centres, and a little for the price of the bytes.
  farMs: 4,
  // A failed request costs its caller about a target.
  failureMs: 400,
  // Long prompts are read for about this long.
  usualSilenceMs: 600,
};

/** Tasks of one daemon. */
export class GatewayRuntime {
  readonly clock = new SteadyClock();

  readonly metrics = new GatewayMetrics();

  readonly recorder: Recorder;

  readonly inForce: InForce;

  readonly fleet: FleetView;

  /** Requests that have not ended. */
  active = 0;

  #membership: Membership | undefined;

  #calls: CallContext | undefined;

  #allowances: Allowances | undefined;

  #stopping = false;

  /** Called when this process must not go on. */
  onFenced: () => void = () => undefined;

  /**
   * Creates the tasks; nothing is sent before "start".
   * @param settings - checked settings
   * @param adapter - what differs from platform to platform
   */
  constructor(
    readonly settings: GatewaySettings,
    readonly adapter: PlatformAdapter,
  ) {
    const { instance, dataCentre, logLevel } = settings;
    this.recorder = makeRecorder({ instance, dataCentre, logLevel });
    this.inForce = new InForce(adapter, this.recorder, this.clock);
    const { tokensPerMs } = settings.engines;
    const options = { ...DELAYS, tokensPerMs };
    this.fleet = new FleetView(this.inForce.upstreams, dataCentre, options, this.clock);
  }

  /** Follows the store and joins the fleet; comes back once the store has answered. */
  async start(): Promise<void> {
    this.recorder.record('daemonStarted', { peer: this.recorder.source });
    this.inForce.start();
    const { host, port } = splitAddress(this.settings.listen.peers);
    const membership = await Membership.join({
      self: this.recorder.source,
      dataCentre: this.settings.dataCentre,
      host,
      port,
      store: this.adapter.store,
      recorder: this.recorder,
      clock: this.clock,
    });
    membership.start();
    this.#membership = membership;
    const allowances = this.#makeAllowances(membership);
    this.#allowances = allowances;
    allowances.whenFenced(() => this.onFenced());
    this.inForce.onConfiguration = () => allowances.refresh();
    allowances.start();
    const { perRequest, reserve } = this.settings.retries;
    this.#calls = {
      codec: this.adapter.headers,
      allowances,
      announcements: new Announcements(membership.network, this.fleet),
      fleet: this.fleet,
      registry: this.inForce.upstreams,
      retries: new RetryBudget({
        perRequest: perRequest * RETRY_MARGIN,
        reserve: (reserve * RETRY_MARGIN) / MIN_DAEMONS,
      }),
      recorder: this.recorder,
      metrics: this.metrics,
      clock: this.clock,
      random: Math.random,
    };
  }

  /** What request runs use; undefined before the daemon can serve. */
  get calls(): CallContext | undefined {
    return this.inForce.isComplete ? this.#calls : undefined;
  }

  /** Whether the balancer should send callers here. */
  get isReady(): boolean {
    return !this.#stopping && this.calls !== undefined;
  }

  /** Whether a graceful stop has begun. */
  get isStopping(): boolean {
    return this.#stopping;
  }

  /** Begins a graceful stop: the balancer is told, open connections are served on. */
  beginStop(): void {
    this.#stopping = true;
    this.recorder.record('daemonStopping', { facts: { active: this.active } });
  }

  /** Gives unspent units back and leaves the fleet. */
  async finishStop(): Promise<void> {
    this.inForce.stop();
    await this.#allowances?.stop();
    await this.#membership?.stop();
    this.fleet.close();
    this.recorder.record('daemonStopped', { facts: { active: this.active } });
    this.recorder.flush();
  }

  #makeAllowances(membership: Membership): Allowances {
    const { shards, aloneSeconds, exposure, idlePart } = this.settings.allowances;
    return new Allowances({
      self: this.recorder.source,
      store: this.adapter.store,
      network: membership.network,
      recorder: this.recorder,
      clock: this.clock,
      policy: () => ({
        aloneSeconds,
        exposure,
        idlePart,
        daemons: membership.size,
        smoothingMs: DEMAND_MS,
      }),
      shards,
      paidOf: (workspace) => this.inForce.table?.named(workspace)?.paidUnits,
      workspaces: () => this.inForce.table?.configuration.workspaces?.map(({ name }) => name) ?? [],
      isStoreUp: () => this.inForce.isStoreUp,
    });
  }
}
