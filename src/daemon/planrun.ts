/** Executes the commands of one step of a plan. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import * as z from 'zod';

import { planKey, ORDER_SEND_TIMEOUT_MS } from '../plan/index.js';
import { updateObject } from '../store/index.js';

import type { UpstreamDocument } from '../config/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type {
  PlanCommand,
  PlanEvent,
  PlanState,
  StoredPlan,
  UpstreamOrder,
} from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { OrderClient } from '../upstream/index.js';
import type { ConfigTask } from './configtask.js';
import type { PlanFollower } from './planfollower.js';
import type { PlanSurvey } from './plansurvey.js';

/** Longest wait for a daemon's answer to a survey request, in milliseconds. */
const SURVEY_TIMEOUT_MS = 800;

/** Stored counter of the fencing numbers of one upstream. */
const fenceSchema = z.object({ fence: z.number().int() }).readonly();

/** Dependencies of a step of a plan. */
export interface PlanRunContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly config: ConfigTask;
  readonly network: PeerNetwork;
  readonly follower: PlanFollower;
  readonly work: PlanSurvey;
  readonly orders: OrderClient;
  readonly recorder: Recorder;
}

function parseFence(value: unknown): z.infer<typeof fenceSchema> {
  return value === null ? { fence: 0 } : fenceSchema.parse(value);
}

/** Executes one step; each write is conditional on the plan version that the step knows. */
export class PlanRun {
  #version: number;

  /** Start of the last write, in monotonic milliseconds; no intent was stored before this time. */
  #writeStartedAt = -Infinity;

  /**
   * Creates the run of one step.
   * @param ctx - store, peers and upstreams
   * @param stored - the plan with its version
   */
  constructor(
    private readonly ctx: PlanRunContext,
    private readonly stored: StoredPlan,
  ) {
    this.#version = stored.version;
  }

  /** Version of the plan after the last write. */
  get version(): number {
    return this.#version;
  }

  /** The upstream that the plan names; undefined if the configuration in force has none. */
  get upstream(): UpstreamDocument | undefined {
    const { document } = this.stored.plan;
    if (document.kind !== 'upstream') return undefined;
    const upstreams = this.ctx.config.current?.documents.upstreams ?? [];
    return upstreams.find(({ name }) => name === document.upstream);
  }

  /**
   * Executes one command.
   * @param command - command that the step procedure yielded
   * @returns the event with which the procedure resumes
   */
  async perform(command: PlanCommand): Promise<PlanEvent> {
    switch (command.type) {
      case 'survey':
        return this.#survey();
      case 'inspect':
        return this.#inspect();
      case 'fence':
        return this.#fence();
      case 'present':
        return this.#present(command.fence);
      case 'write':
        return this.#write(command.plan);
      case 'send':
        return this.#send(command.order);
      case 'close':
        return this.ctx.work.closeWorkspace(this.stored.plan);
      default:
        await delay(command.ms);
        return { type: 'done' };
    }
  }

  async #survey(): Promise<PlanEvent> {
    const { network, work } = this.ctx;
    const { name } = this.stored.plan.document;
    const request = { type: 'survey-plan', plan: name, version: this.#version } as const;
    const own = await work.survey(request);
    const peers = network.peers();
    const answers = await Promise.all(
      peers.map(({ name: to }) =>
        network.request({
          to,
          body: request,
          reply: 'plan-surveyed',
          timeoutMs: SURVEY_TIMEOUT_MS,
        }),
      ),
    );
    const silent = peers.filter((_, index) => answers[index]?.err).map((peer) => peer.name);
    // Arming requires that every daemon which the platform no longer lists is recorded as ended.
    const unlisted = this.stored.plan.phase === 'declared' ? await work.unlistedHolders() : [];
    if (!unlisted) return { type: 'stopped' };
    const unreachable = [...silent, ...new Set(unlisted)];
    const unaware = peers
      .filter((_, index) => answers[index]?.ok && !answers[index].val.aware)
      .map((peer) => peer.name);
    const open = answers.reduce((sum, found) => sum + (found.ok ? found.val.open : 0), own.open);
    return { type: 'surveyed', unreachable, unaware, open };
  }

  async #inspect(): Promise<PlanEvent> {
    const { upstream } = this;
    const found = upstream ? await this.ctx.orders.state(upstream.url) : undefined;
    if (!found?.ok) return { type: 'stopped' };
    return { type: 'inspected', ...found.val };
  }

  async #fence(): Promise<PlanEvent> {
    const { upstream } = this;
    if (!upstream) return { type: 'stopped' };
    const kind = { key: `fences/${upstream.name}`, parse: parseFence };
    const raised = await updateObject(this.ctx.store, kind, ({ fence }) => ({
      kind: 'write',
      value: { fence: fence + 1 },
      outcome: fence + 1,
    }));
    return raised.ok ? { type: 'fenced', fence: raised.val } : { type: 'stopped' };
  }

  async #present(fence: number): Promise<PlanEvent> {
    const { upstream } = this;
    const taken = upstream ? await this.ctx.orders.raiseFence(upstream.url, fence) : undefined;
    return { type: taken?.ok ? 'done' : 'stopped' };
  }

  async #write(plan: PlanState): Promise<PlanEvent> {
    const { store, follower, recorder } = this.ctx;
    const { name } = plan.document;
    this.#writeStartedAt = performance.now();
    const written = await store.write(planKey(name), plan, this.#version);
    if (written.err) return { type: 'stopped' };
    this.#version = written.val;
    follower.update({ version: written.val, plan });
    recorder.record('planMoved', { plan: name, detail: `${plan.phase} ${plan.waitsFor}` });
    return { type: 'done' };
  }

  async #send(order: UpstreamOrder): Promise<PlanEvent> {
    const { upstream } = this;
    // A process that was suspended after it recorded the intent must not send the order late: by
    // then another executor may have taken over the plan.
    const leftMs = Math.floor(ORDER_SEND_TIMEOUT_MS - (performance.now() - this.#writeStartedAt));
    if (!upstream || leftMs <= 0) return { type: 'stopped' };
    const sent = await this.ctx.orders.send(upstream.url, order, leftMs);
    const { name } = this.stored.plan.document;
    const detail = `${order.order} with ${order.fence}: ${sent.ok ? 'done' : sent.val.code}`;
    this.ctx.recorder.record('planOrdered', { plan: name, upstream: upstream.name, detail });
    return { type: 'done' };
  }
}
