/** Sends callers of a busy daemon to others: asks those for their waits, and takes this daemon out of the rotation. */
import { performance } from 'node:perf_hooks';

import { rendezvous, SECOND_MS } from '../kernel/index.js';
import {
  closesConnections,
  IN_ROTATION,
  isBetterElsewhere,
  isBusy,
  needsReports,
  nextRotation,
  roomElsewhere,
} from '../ingress/index.js';
import { LineLimit } from '../telemetry/index.js';

import type { DaemonLoad, RoomElsewhere, Rotation, WaitReport } from '../ingress/index.js';
import type { Clock } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { RegisteredDaemon } from './followedinstances.js';
import type { GatewayMetrics } from './metrics.js';

/** Interval at which the wait of this daemon is examined, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Weight of the newest sample in the moving average of the utilization: it covers about half a second. */
const UTILIZATION_WEIGHT = 0.3;

/** Wait that a busy daemon reports if its queue is short, in milliseconds: its callers wait to be accepted. */
const BUSY_REPORT_MS = 1_000;

/** Interval at which other daemons are asked while this one is busy, in milliseconds. */
const ASK_INTERVAL_MS = 500;

/** Number of daemons that are asked at a time. */
const ASKED_DAEMONS = 4;

/** Timeout of a question, in milliseconds. */
const ASK_TIMEOUT_MS = 2 * SECOND_MS;

/** Maximum number of log lines on callers that were sent elsewhere in one period, and the period in milliseconds. */
const REDIRECT_LINES = 5;
const REDIRECT_PERIOD_MS = 10 * SECOND_MS;

/** Dependencies. */
export interface OverflowConfig {
  readonly self: string;
  readonly dataCentre: string;
  readonly network: PeerNetwork;
  readonly daemons: () => readonly RegisteredDaemon[];
  /** Time for which a new request would wait for its turn here, in milliseconds. */
  readonly waitMs: () => number;
  readonly recorder: Recorder;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
}

/** Decides for one daemon which callers it sends to others. */
export class Overflow {
  #rotation: Rotation = IN_ROTATION;

  #reports = new Map<string, WaitReport>();

  #askedAt = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  #loopUsed = performance.eventLoopUtilization();

  #utilization = 0;

  readonly #lines = new LineLimit(REDIRECT_LINES, REDIRECT_PERIOD_MS);

  /**
   * Registers the handler for questions of other daemons.
   * @param cfg - dependencies
   */
  constructor(private readonly cfg: OverflowConfig) {
    cfg.network.handle('waitAsked', () => ({
      type: 'waitAnswered',
      // A daemon that has left the rotation takes no callers of others.
      waitMs: this.isResting || isBusy(this.#load) ? BUSY_REPORT_MS : Math.round(cfg.waitMs()),
    }));
  }

  /** Starts to examine the wait of this daemon; the timer does not keep the process alive. */
  start(): void {
    this.#timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Whether this daemon takes no new connections for now. */
  get isResting(): boolean {
    return this.#rotation.restsUntil !== undefined;
  }

  /** Whether kept connections are closed with their next answers. */
  get closesConnections(): boolean {
    return closesConnections(this.#rotation, this.cfg.clock.now());
  }

  /**
   * Decides whether the caller of a request is sent to another daemon.
   * @param request - id of the request, for the log
   * @param targetMs - target time of its route, in milliseconds
   * @returns whether the request is refused now
   */
  sendsElsewhere(request: string, targetMs: number): boolean {
    const { waitMs, recorder, metrics, clock } = this.cfg;
    const expectedMs = waitMs();
    if (!isBetterElsewhere(expectedMs, targetMs, this.#room)) return false;
    metrics.sentElsewhere.inc();
    const suppressed = this.#lines.admit(clock.now());
    if (suppressed !== undefined) {
      const facts = { waitMs: Math.round(expectedMs), targetMs, ...this.#reportFacts, suppressed };
      recorder.record('callSentElsewhere', { request, facts });
    }
    return true;
  }

  /** Examines the wait of this daemon once. */
  sample(): void {
    const { clock, recorder, metrics } = this.cfg;
    const now = clock.now();
    this.#measureLoop();
    const load = this.#load;
    if (needsReports(load) || this.isResting) this.#ask(now);
    const wasResting = this.isResting;
    this.#rotation = nextRotation(this.#rotation, load, this.#room, now);
    if (this.isResting === wasResting) return;
    metrics.resting.set(this.isResting ? 1 : 0);
    const facts = {
      isResting: this.isResting,
      waitMs: Math.round(load.waitMs),
      utilization: Number(load.utilization.toFixed(2)),
      restMs: this.#rotation.restMs,
      ...this.#reportFacts,
    };
    recorder.record('rotationChanged', { facts });
  }

  get #load(): DaemonLoad {
    return { waitMs: this.cfg.waitMs(), utilization: this.#utilization };
  }

  #measureLoop(): void {
    const used = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(used, this.#loopUsed);
    this.#loopUsed = used;
    this.#utilization += (utilization - this.#utilization) * UTILIZATION_WEIGHT;
  }

  get #room(): RoomElsewhere {
    return roomElsewhere([...this.#reports.values()], this.cfg.clock.now());
  }

  get #reportFacts(): Readonly<Record<string, number>> {
    const now = this.cfg.clock.now();
    const reports = [...this.#reports.values()];
    const ageMs = Math.round(Math.max(0, ...reports.map(({ at }) => now - at)));
    return { reports: reports.length, oldestReportMs: ageMs };
  }

  #ask(now: number): void {
    if (now - this.#askedAt < ASK_INTERVAL_MS) return;
    this.#askedAt = now;
    const { self, dataCentre, daemons, network, clock } = this.cfg;
    // The load balancer sends callers to the daemons of their data centre.
    const others = daemons().filter((peer) => peer.dataCentre === dataCentre && peer.name !== self);
    const names = others.map(({ name }) => name);
    // The same daemons each time: a new link costs a busy daemon more than a question.
    const asked = new Set(rendezvous(self, names).slice(0, ASKED_DAEMONS));
    this.#reports = new Map([...this.#reports].filter(([name]) => asked.has(name)));
    asked.forEach((name) => {
      void network
        .request({
          to: name,
          body: { type: 'waitAsked' },
          reply: 'waitAnswered',
          timeoutMs: ASK_TIMEOUT_MS,
        })
        .then((replied) => {
          // A reply may be late because this daemon is busy; the last report counts until it is too old.
          if (replied.ok) this.#reports.set(name, { waitMs: replied.val.waitMs, at: clock.now() });
        });
    });
  }
}
