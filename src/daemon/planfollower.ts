/** Keeps the plans current by periodic confirmation; they determine what may be dispatched. */
import { performance } from 'node:perf_hooks';

import { rendezvous } from '../kernel/index.js';
import {
  isWorkspaceClosed,
  refusesNewWork,
  isFinal,
  mayDispatchTo,
  mergePlans,
  parsePlan,
  PLAN_KEY_PREFIX,
} from '../plan/index.js';
import { parseObject } from '../store/index.js';

import type { PeerNetwork, PeerMessageOf } from '../link/index.js';
import type { Confirmation, KnownPlans, StoredPlan } from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';

/** Interval between confirmations while a plan is not final, in milliseconds. */
const CONFIRM_INTERVAL_MS = 600;

/** Interval between confirmations while every plan is final, in milliseconds. */
const IDLE_CONFIRM_INTERVAL_MS = 1_500;

/** Longest wait for a peer's confirmation, in milliseconds. */
const PEER_TIMEOUT_MS = 400;

/** Number of daemons of a data centre that read the plans from the store; the others ask them. */
const STORE_READERS = 2;

/** Rendezvous hashing key that selects these daemons. */
const READERS_KEY = 'plan-readers';

/** Dependencies of the plan follower. */
export interface PlanFollowerContext {
  readonly instance: string;
  readonly dataCentre: string;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** Holds the plans as known to this daemon. */
export class PlanFollower {
  #known: KnownPlans = new Map();

  #confirmedAt: number | null = null;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  /**
   * Creates the task and registers the handler for peers that confirm their plans.
   * @param ctx - store, peers and identity
   */
  constructor(private readonly ctx: PlanFollowerContext) {
    ctx.network.handle('confirm-plans', (ask) => this.#answerPeer(ask));
  }

  /** Plans by name. */
  get known(): KnownPlans {
    return this.#known;
  }

  /** Whether the plans have been confirmed at least once. */
  get loaded(): boolean {
    return this.#confirmedAt !== null;
  }

  /** Starts the periodic confirmation. */
  start(): void {
    void this.#loop();
  }

  /** Stops the periodic confirmation. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /**
   * Returns whether an upstream may receive new requests now.
   * @param upstream - upstream name
   * @returns false if an accepted plan removes it, or if the known plans may be outdated
   */
  mayReceive(upstream: string): boolean {
    return mayDispatchTo(this.#known, upstream, this.#confirmation());
  }

  /**
   * Returns whether a plan has closed a workspace.
   * @param workspace - workspace name
   * @returns whether its new requests are refused
   */
  hasClosed(workspace: string): boolean {
    return isWorkspaceClosed(this.#known, workspace, this.#confirmation());
  }

  /**
   * Applies a plan that another component of this daemon read or wrote.
   * @param stored - the plan with its version
   */
  update(stored: StoredPlan): void {
    this.#merge([stored]);
  }

  /**
   * Confirms the plans: readers ask the store, other daemons ask the readers. If that fails, the
   * store and then every peer is asked.
   */
  async confirm(): Promise<void> {
    const { recorder } = this.ctx;
    const readers = this.#storeReaders();
    const isReader = readers.includes(this.ctx.instance);
    if (!isReader && (await this.#confirmFromPeers(readers))) return;
    if (await this.#confirmFromStore()) return;
    const all = this.ctx.network.peers().map(({ name }) => name);
    if (await this.#confirmFromPeers(all)) return;
    recorder.record('plansUnconfirmed');
  }

  #confirmation(): Confirmation {
    return { confirmedAt: this.#confirmedAt, now: performance.now(), wall: Date.now() };
  }

  async #loop(): Promise<void> {
    const began = performance.now();
    await this.confirm();
    if (this.#stopped) return;
    const pending = [...this.#known.values()].some(({ plan }) => !isFinal(plan));
    const waitMs =
      (pending ? CONFIRM_INTERVAL_MS : IDLE_CONFIRM_INTERVAL_MS) - (performance.now() - began);
    this.#timer = setTimeout(
      () => {
        void this.#loop();
      },
      Math.max(0, waitMs),
    );
  }

  #storeReaders(): readonly string[] {
    const { instance, dataCentre, network } = this.ctx;
    const near = network.peers().filter((peer) => peer.dataCentre === dataCentre);
    const names = [instance, ...near.map(({ name }) => name)];
    return rendezvous(READERS_KEY, names).slice(0, STORE_READERS);
  }

  async #confirmFromStore(): Promise<boolean> {
    const at = performance.now();
    const listed = await this.ctx.store.list(PLAN_KEY_PREFIX);
    if (listed.err) return false;
    const changed = listed.val.filter(
      ({ key, version }) =>
        version > (this.#known.get(key.slice(PLAN_KEY_PREFIX.length))?.version ?? 0),
    );
    const found = await Promise.all(changed.map(({ key }) => this.ctx.store.read(key)));
    const plans = found.flatMap((result) => {
      if (result.err) return [];
      const { key, version, value } = result.val;
      const parsed = parseObject({ key, parse: parsePlan }, value);
      if (parsed.err) this.ctx.recorder.record('plansUnconfirmed', { detail: parsed.val.text });
      return parsed.ok && parsed.val ? [{ version, plan: parsed.val }] : [];
    });
    this.#merge(plans);
    if (plans.length < changed.length) return false;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
    return true;
  }

  async #confirmFromPeers(names: readonly string[]): Promise<boolean> {
    const answers = await Promise.all(names.map((name) => this.#confirmFromPeer(name)));
    return answers.some(Boolean);
  }

  async #confirmFromPeer(to: string): Promise<boolean> {
    const at = performance.now();
    const known = [...this.#known].map(([name, { version }]) => ({ name, version }));
    const answer = await this.ctx.network.request({
      to,
      body: { type: 'confirm-plans', known },
      reply: 'plans-confirmed',
      timeoutMs: PEER_TIMEOUT_MS,
    });
    if (answer.err || answer.val.ageMs === null) return false;
    this.#merge(answer.val.newer);
    const confirmedAt = at - answer.val.ageMs;
    const fresher = confirmedAt > (this.#confirmedAt ?? -Infinity);
    if (fresher) this.#confirmedAt = confirmedAt;
    return fresher;
  }

  #answerPeer({ known }: PeerMessageOf<'confirm-plans'>): PeerMessageOf<'plans-confirmed'> {
    const versions = new Map(known.map(({ name, version }) => [name, version]));
    const newer = [...this.#known]
      .filter(([name, { version }]) => version > (versions.get(name) ?? 0))
      .map(([, stored]) => stored);
    const at = this.#confirmedAt;
    const ageMs = at === null ? null : performance.now() - at;
    return { type: 'plans-confirmed', ageMs, newer };
  }

  #merge(plans: readonly StoredPlan[]): void {
    const before = this.#known;
    this.#known = mergePlans(before, plans);
    this.#known.forEach(({ plan }, name) => {
      const hasJustLeft =
        refusesNewWork(plan) &&
        !refusesNewWork(before.get(name)?.plan ?? { ...plan, phase: 'armed' });
      if (hasJustLeft) this.ctx.recorder.record('planInForce', { plan: name });
    });
  }
}
