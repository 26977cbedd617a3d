/** Executes plans; conditional writes decide which daemon is the executor of a plan. */
import { performance } from 'node:perf_hooks';

import { drive } from '../kernel/index.js';
import { advance, declarePlan, refusesNewWork, isFinal, planKey } from '../plan/index.js';
import { PlanRun } from './planrun.js';

import type { PlanState, StoredPlan } from '../plan/index.js';
import type { PlanRunContext } from './planrun.js';

/** Interval between steps, in milliseconds. */
const STEP_INTERVAL_MS = 400;

/** Interval between heartbeats that the executor writes into the plan, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_500;

/** Shortest time without a change after which another daemon takes over a plan, in milliseconds. */
const TAKEOVER_TIMEOUT_MS = 5_000;

/** Largest random addition to TAKEOVER_TIMEOUT_MS, in milliseconds. */
const TAKEOVER_JITTER_MS = 1_000;

/** When this daemon saw the current state of a plan. */
interface Observation {
  readonly version: number;
  /** Monotonic milliseconds at which this version was first seen. */
  readonly since: number;
  /** Monotonic milliseconds at which the plan was first seen accepted; null before. */
  readonly acceptedSince: number | null;
  /** Time without a change after which this daemon takes over the plan, in milliseconds. */
  readonly takeoverAfterMs: number;
}

/** Executes the plans whose executor is this daemon; takes over those that are no longer updated. */
export class PlanExecutor {
  readonly #observations = new Map<string, Observation>();

  readonly #running = new Set<string>();

  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the task.
   * @param ctx - store, peers, upstreams and the plans known to this daemon
   */
  constructor(private readonly ctx: PlanRunContext) {}

  /** Starts the periodic check for steps to execute. */
  start(): void {
    this.#timer = setInterval(() => this.#checkPlans(), STEP_INTERVAL_MS);
  }

  /** Stops executing plans; other daemons take them over. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #checkPlans(): void {
    const { follower, config } = this.ctx;
    const documents = config.current?.documents.plans ?? [];
    if (follower.loaded) {
      documents
        .filter(({ name }) => !follower.known.has(name))
        .forEach((document) => {
          this.#runExclusively(document.name, () =>
            this.#write(document.name, 0, declarePlan(document, this.ctx.self)),
          );
        });
    }
    follower.known.forEach((stored, name) => {
      const observation = this.#observe(name, stored);
      if (isFinal(stored.plan)) return;
      this.#runExclusively(name, () => this.#step(stored, observation));
    });
  }

  #runExclusively(name: string, task: () => Promise<unknown>): void {
    if (this.#running.has(name)) return;
    this.#running.add(name);
    void task().finally(() => this.#running.delete(name));
  }

  #observe(name: string, { version, plan }: StoredPlan): Observation {
    const now = performance.now();
    const last = this.#observations.get(name);
    const accepted = refusesNewWork(plan) ? (last?.acceptedSince ?? now) : null;
    const isSameVersion = last?.version === version;
    const observation: Observation = {
      version,
      since: isSameVersion ? last.since : now,
      acceptedSince: accepted,
      takeoverAfterMs: isSameVersion
        ? last.takeoverAfterMs
        : TAKEOVER_TIMEOUT_MS + Math.random() * TAKEOVER_JITTER_MS,
    };
    this.#observations.set(name, observation);
    return observation;
  }

  async #step(stored: StoredPlan, observation: Observation): Promise<void> {
    const { plan, version } = stored;
    const now = performance.now();
    if (plan.executor !== this.ctx.self) {
      if (now - observation.since > observation.takeoverAfterMs) await this.#takeOver(stored);
      return;
    }
    const run = new PlanRun(this.ctx, stored);
    const { upstream } = run;
    const view = {
      plan,
      wall: Date.now(),
      acceptedForMs: observation.acceptedSince === null ? 0 : now - observation.acceptedSince,
      checksFencing: upstream?.checksFencing ?? false,
    };
    await drive(advance(view), (command) => run.perform(command));
    const idle = run.version === version && now - observation.since > HEARTBEAT_INTERVAL_MS;
    if (idle) await this.#write(plan.document.name, version, { ...plan, beat: plan.beat + 1 });
  }

  async #takeOver({ plan, version }: StoredPlan): Promise<void> {
    const next: PlanState = { ...plan, executor: this.ctx.self, term: plan.term + 1 };
    const { name } = plan.document;
    if (await this.#write(name, version, next)) {
      this.ctx.recorder.record('planTakenOver', { plan: name, detail: `term ${next.term}` });
    }
  }

  async #write(name: string, expected: number, plan: PlanState): Promise<boolean> {
    const written = await this.ctx.store.write(planKey(name), plan, expected);
    if (written.ok) this.ctx.follower.update({ version: written.val, plan });
    return written.ok;
  }
}
