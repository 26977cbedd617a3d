/**
 * Runs one request: performs the commands of its serve procedure (reserve, place, send), then settles
 * its units, completes its answer and logs its outcome.
 */
import { drive, failure } from '../kernel/index.js';
import { answerFailure, internalFailure } from './answerfailure.js';
import { attemptCall } from './attempt.js';
import { AttemptProgress } from './attemptprogress.js';
import { recordAttempt } from './attemptrecord.js';
import { placeCall } from './callplacement.js';
import { timeLimitMs } from './configuration.js';
import { allowedRegions } from './homes.js';
import { placementRequestOf } from './placementrequest.js';
import { PromptGuard } from './promptguard.js';
import { RouteTable } from './routetable.js';
import { mayRepeat, serveCall } from './serve.js';
import { retryDelayMs } from './shortage.js';
import { recordSignals } from './signalrecord.js';

import type { Arrival } from '../ingress/index.js';
import type { Failure } from '../kernel/index.js';
import type { PlacementRequest, RetryBudget } from '../route/index.js';
import type { Allowances } from './allowances.js';
import type { Announcements } from './announcements.js';
import type { Call } from './attempt.js';
import type { PlacedCall, PlacementContext } from './callplacement.js';
import type { GatewayRoute, GatewayWorkspace } from './configuration.js';
import type { CrashWatch } from './crashwatch.js';
import type { KnownUpstream } from './upstreampool.js';
import type { HeaderCodec } from './protocol.js';
import type { ServeCommand, ServeEvent, ServeOutcome } from './serve.js';
import type { UpstreamSupply } from './shortage.js';
import type { SignalContext } from './signalrecord.js';

/** Longest wait of a request for prepaid units, as a share of its route's target time to the answer. */
const UNITS_WAIT_SHARE = 0.4;

/**
 * Time by which an attempt may exceed the time limit of its request before this daemon aborts it, in
 * milliseconds: the upstream knows the limit and can end the request itself by then.
 */
export const TIMEOUT_SLACK_MS = 40;

/** Time that must be left before the time limit of a request for it to be sent, in milliseconds. */
const MIN_ATTEMPT_MS = 10;

/** Retry delay sent to callers when no upstream can receive the request, in milliseconds. */
const NO_UPSTREAM_RETRY_MS = 500;

/**
 * Time without an answer after which an idempotent request is sent to another upstream, if there is one that is not silent,
 * as a multiple of the route's target time to the answer.
 */
const ANSWER_TIMEOUT_TARGETS = 3;

/** Least status of an answer for which the upstream may not have done the work. */
const FIRST_FAILURE = 300;

/** Dependencies of a request run. */
export interface CallContext extends PlacementContext, SignalContext {
  readonly codec: HeaderCodec;
  readonly allowances: Allowances;
  readonly announcements: Announcements;
  readonly retries: RetryBudget;
  readonly crashWatch: CrashWatch;
}

/** Configuration that applies to a request. */
export interface CallPolicy {
  readonly table: RouteTable;
  readonly route: GatewayRoute;
  readonly workspace: GatewayWorkspace | undefined;
}

/** Serves one request that has passed the queue, until its end. */
export class CallRun {
  readonly #startedAt: number;

  readonly #service: string | undefined;

  /** Regions that may serve the request; undefined for any. */
  readonly #allowed: readonly string[] | undefined;

  readonly #placement: PlacementRequest;

  readonly #guard: PromptGuard;

  #placed:
    | (PlacedCall & {
        /** Upstreams that were tried before. */
        readonly excluded: readonly string[];
        readonly isRepeat: boolean;
      })
    | undefined;

  /** Whether a retry was taken from the budget and not used yet. */
  #hasRetry = false;

  #reserved = 0;

  #charged = 0;

  /** Whether an upstream to which a part of the request was sent may have processed the prompt. */
  #mayHaveRun = false;

  #isStopped = false;

  #firstByteAt: number | undefined;

  /** State of the upstream connection at the end of a relayed answer, for the log; "none" before that. */
  #connectionState = 'none';

  /**
   * Creates the run of a request.
   * @param ctx - dependencies
   * @param call - the request
   * @param policy - configuration that applies to it
   * @param arrival - its arrival time, and age and earlier use of its connection
   */
  constructor(
    private readonly ctx: CallContext,
    private readonly call: Call,
    private readonly policy: CallPolicy,
    private readonly arrival: Arrival,
  ) {
    this.#startedAt = arrival.at;
    this.#service = RouteTable.service(policy.route, ctx.random());
    this.#allowed = allowedRegions(policy.route, policy.workspace);
    this.#placement = placementRequestOf(call);
    this.#guard = new PromptGuard(ctx.crashWatch, call);
  }

  /** Ends the request now, as the process is about to exit: honestly if it is unanswered, aborted otherwise. */
  stop(): void {
    this.#isStopped = true;
    this.call.reply.onStop();
  }

  /** Serves the request; resolves once it has ended. */
  async run(): Promise<void> {
    const { route, workspace } = this.policy;
    const { usage } = this.call.head;
    this.ctx.retries.addRequest();
    const procedure = serveCall({
      repeatability: route.repeatability,
      resumable: route.resumable,
      maxAttempts: route.maxAttempts,
      isPrepaid: usage !== undefined && workspace?.paidUnits !== undefined,
    });
    const outcome = await drive<ServeCommand, ServeEvent, ServeOutcome>(procedure, (command) =>
      this.#perform(command),
    ).catch((err: unknown) => this.#outcomeOfError(err));
    this.#settle();
    if (this.#hasRetry) this.ctx.retries.returnRetry();
    this.#finish(outcome);
  }

  /** Logs an internal error and returns the outcome that the caller is told. */
  #outcomeOfError(err: unknown): ServeOutcome {
    const { head, reply } = this.call;
    this.ctx.recorder.record('requestFailed', { request: head.id, detail: String(err) });
    const attempts = this.#mayHaveRun ? 1 : 0;
    if (reply.isBegun) return { kind: 'cut', attempts };
    const refusal = internalFailure(this.policy.route.name, this.#mayHaveRun);
    return { kind: this.#mayHaveRun ? 'failed' : 'refused', refusal, attempts };
  }

  #perform(command: ServeCommand): ServeEvent | Promise<ServeEvent> {
    switch (command.type) {
      case 'reserve':
        return this.#reserve();
      case 'place':
        return this.#admit(command.excluded, command.isRepeat);
      default:
        return this.#send(command.relaysFailure);
    }
  }

  async #reserve(): Promise<ServeEvent> {
    const { allowances, registry, clock } = this.ctx;
    const { rejection } = this.#guard;
    if (rejection) return this.#refusedEvent(rejection);
    const { route, workspace } = this.policy;
    if (this.#isStopped) return this.#refusedEvent(failure('not-ready', route.name));
    const service = this.#service ?? '';
    // Waiting for units would be in vain.
    if (registry.serving(service, clock.now(), this.#allowed).length === 0)
      return this.#refusedEvent(this.#noUpstream());
    const { promptTokens, outputTokens } = this.call.head.usage ?? {
      promptTokens: 0,
      outputTokens: 0,
    };
    const units = promptTokens + outputTokens;
    const waitMs = Math.min(route.targetMs * UNITS_WAIT_SHARE, this.#remainingMs());
    const waitAbort = new AbortController();
    const { reply } = this.call;
    reply.onDisconnect = () => waitAbort.abort();
    reply.onStop = () => waitAbort.abort();
    const { signal } = waitAbort;
    const reserved = await allowances.reserve(workspace?.name ?? '', units, waitMs, signal);
    reply.onDisconnect = () => undefined;
    reply.onStop = () => undefined;
    if (reserved.ok) this.#reserved = units;
    if (reply.isDisconnected) return { type: 'left' };
    if (reserved.err) return { type: 'refused', refusal: reserved.val };
    return { type: 'reserved' };
  }

  /** Places the request unless upstreams crash on its prompt. */
  #admit(excluded: readonly string[], isRepeat: boolean): ServeEvent | Promise<ServeEvent> {
    const decide = (refusal: Failure | undefined): ServeEvent | Promise<ServeEvent> =>
      refusal ? this.#refusedEvent(refusal) : this.#place(excluded, isRepeat);
    const refusal = this.#guard.admit();
    return refusal instanceof Promise ? refusal.then(decide) : decide(refusal);
  }

  #place(excluded: readonly string[], isRepeat: boolean): ServeEvent | Promise<ServeEvent> {
    const ended = this.#endBeforeSend();
    if (ended) return ended;
    const service = this.#service ?? '';
    const { services } = this.policy.table.configuration;
    const memoryTokens = services.find(({ name }) => name === service)?.model?.memoryTokens;
    const request = this.#placement;
    const query = { service, request, excluded, memoryTokens, allowed: this.#allowed };
    const found = placeCall(this.ctx, query);
    const apply = (placed: PlacedCall | undefined): ServeEvent =>
      placed && (!isRepeat || this.#useRetry())
        ? this.#applyPlacement(placed, excluded, isRepeat)
        : this.#refusedEvent(this.#noUpstream());
    if (!(found instanceof Promise)) return apply(found);
    return found.then((placed) => this.#endBeforeSend() ?? apply(placed));
  }

  /** The event that ends the request without another attempt, if its caller has left or its time is over. */
  #endBeforeSend(): ServeEvent | undefined {
    const { name } = this.policy.route;
    if (this.call.reply.isDisconnected) return { type: 'left' };
    if (this.#isStopped) return this.#refusedEvent(failure('not-ready', name));
    if (this.#remainingMs() < MIN_ATTEMPT_MS)
      return this.#refusedEvent(failure('overloaded', name));
    return undefined;
  }

  #applyPlacement(placed: PlacedCall, excluded: readonly string[], isRepeat: boolean): ServeEvent {
    const { placement, upstream } = placed;
    const { table } = this.policy;
    this.#placed = { ...placed, excluded, isRepeat };
    const { connectionMs, earlier } = this.arrival;
    const waitedMs = this.ctx.clock.now() - this.#startedAt;
    this.ctx.metrics.pace.observe(placement.pace);
    if (!isRepeat) this.ctx.metrics.sendDelay.observe(waitedMs / 1_000);
    const facts = {
      waitedMs: Math.round(waitedMs),
      connectionMs: Math.round(connectionMs),
      earlier,
      delayMs: Math.round(placement.delayMs),
      pacePercent: Math.round(placement.pace * 100),
      load: upstream.stats.estimatedOpen(this.ctx.clock.now()),
      version: table.configuration.version,
      isRepeat,
    };
    this.ctx.recorder.record('callSent', {
      request: this.call.head.id,
      upstream: upstream.record.id,
      facts,
    });
    return { type: 'placed', upstream: upstream.record };
  }

  /** Takes a retry from the budget if another upstream than the silent one can receive the request now. */
  #mayMove(silent: KnownUpstream, silenceMs: number): boolean {
    const { upstreamPool, retries } = this.ctx;
    const excluded = [...(this.#placed?.excluded ?? []), silent.record.id];
    const query = { service: this.#service ?? '', allowed: this.#allowed, excluded };
    if (!upstreamPool.hasResponsive(query, silenceMs)) return false;
    this.#hasRetry = retries.takeRetry();
    return this.#hasRetry;
  }

  #useRetry(): boolean {
    const hadRetry = this.#hasRetry;
    this.#hasRetry = false;
    return hadRetry || this.ctx.retries.takeRetry();
  }

  #refusedEvent(refusal: Failure): ServeEvent {
    return { type: 'refused', refusal };
  }

  async #send(relaysFailure: boolean): Promise<ServeEvent> {
    const placed = this.#placed;
    if (!placed) throw new Error('an attempt needs a placement');
    const { upstream, placement, permittedUntil } = placed;
    const { uncachedTokens, workMs } = placement;
    const { record, stats } = upstream;
    const { clock, metrics } = this.ctx;
    const { route } = this.policy;
    // The upstream may have announced that it leaves, have asked for a pause, have named a limit or have been removed since it
    // was chosen.
    const mayStart = (): boolean =>
      this.ctx.registry.mayReceive(record, clock.now(), permittedUntil);
    let sentAt = clock.now();
    const { memoryTokens } = this.#placement;
    const answerTimeoutMs =
      route.repeatability === 'idempotent' && !relaysFailure
        ? route.targetMs * ANSWER_TIMEOUT_TARGETS
        : undefined;
    const headers = this.#headers(record.id);
    const open = stats.begin({
      sentAt: clock.now(),
      uncachedTokens,
      memoryTokens,
      expected: {
        expectedMs: workMs,
        fill: stats.estimatedOpen(clock.now()) / record.capacity,
      },
      isAnswered: false,
    });
    const progress = new AttemptProgress(this.call, clock.now());
    const { opened } = upstream.connections;
    const mayHaveRunBefore = this.#mayHaveRun;
    const outcome = await attemptCall({
      call: this.call,
      codec: this.ctx.codec,
      connections: upstream.connections,
      headers,
      timeoutMs: this.#remainingMs() + TIMEOUT_SLACK_MS,
      answerTimeoutMs,
      mayMove: () => this.#mayMove(upstream, answerTimeoutMs ?? 0),
      resumable: route.resumable,
      relaysFailure,
      mayStart,
      onConnectionEnded: () => metrics.endedConnections.inc(),
      onSent: () => {
        this.#mayHaveRun = true;
        sentAt = clock.now();
        this.ctx.announcements.announce(record.id, uncachedTokens);
      },
      onProgress: (head) => {
        this.#guard.noteProgress(progress, head);
        this.#firstByteAt ??= clock.now();
        stats.recordResponse(open, head?.load, clock.now(), head && head.status < FIRST_FAILURE);
        if (head) recordSignals(this.ctx, record, head, this.call.head.id, sentAt);
      },
    });
    if (outcome.kind === 'not-run') this.#mayHaveRun = mayHaveRunBefore;
    // A retry that was not sent is still available.
    if (outcome.kind === 'withheld') this.#hasRetry = placed.isRepeat;
    stats.end(open);
    metrics.connections.inc(upstream.connections.opened - opened);
    recordAttempt(this.ctx, { request: this.call.head.id, upstream, outcome, progress });
    if (outcome.kind === 'relayed') this.#connectionState = outcome.ending;
    await this.#guard.noteEnd(upstream, outcome, progress);
    return { type: 'sent', outcome };
  }

  #headers(upstream: string): string[] {
    const { head, events } = this.call;
    const { workspace } = this.policy;
    return this.ctx.codec.encodeSend(head, {
      upstream,
      deadlineMs: Math.max(1, this.#remainingMs()),
      workspace: workspace?.name,
      resumeAfter: events.lastId ?? head.resumeAfter,
      urgency: undefined,
    });
  }

  /** Time until the time limit of the request, in milliseconds; negative once it has passed. */
  #remainingMs(): number {
    const { deadlineMs } = this.call.head;
    return timeLimitMs(this.policy.route, deadlineMs) - (this.ctx.clock.now() - this.#startedAt);
  }

  /**
   * Settles the reservation: charges the prompt once, if an upstream may have processed it, and the output
   * that was relayed to the caller.
   */
  #settle(): void {
    const { workspace, table } = this.policy;
    if (this.#reserved === 0 || !workspace) return;
    const { usage } = this.call.head;
    const model = table.configuration.services.find(({ name }) => name === this.#service)?.model;
    const output = this.call.events.events * (model?.tokensPerEvent ?? 1);
    const used = this.#mayHaveRun ? (usage?.promptTokens ?? 0) + output : 0;
    const charged = Math.min(used, this.#reserved);
    this.#charged = charged;
    this.ctx.allowances.settle(workspace.name, this.#reserved, charged);
    this.ctx.metrics.units.inc({ workspace: workspace.name }, charged);
  }

  #noUpstream(): Failure {
    const service = this.#service ?? '';
    const regions = this.#allowed && ` in the allowed regions (${this.#allowed.join(', ')})`;
    return failure('upstream-unavailable', `${service}${regions ?? ''}`);
  }

  /** Upstreams in use, if there was none for the request. */
  #supplyOf(outcome: ServeOutcome): UpstreamSupply | undefined {
    if (!('refusal' in outcome) || outcome.refusal.code !== 'upstream-unavailable')
      return undefined;
    return this.ctx.registry.supply(this.#service ?? '', this.ctx.clock.now(), this.#allowed);
  }

  /** The refusal of a request, with the delay after which an upstream may be available. */
  #refusalOf(outcome: ServeOutcome, supply: UpstreamSupply | undefined): Failure | undefined {
    if (!('refusal' in outcome)) return undefined;
    const { refusal } = outcome;
    if (!supply) return refusal;
    const otherwiseMs = refusal.retryAfterMs ?? NO_UPSTREAM_RETRY_MS;
    return { ...refusal, retryAfterMs: retryDelayMs(supply, otherwiseMs, this.ctx.random()) };
  }

  #finish(outcome: ServeOutcome): void {
    const { reply, head } = this.call;
    const { kind, attempts } = outcome;
    if (kind === 'cut') reply.abortAnswer();
    const supply = this.#supplyOf(outcome);
    const refusal = this.#refusalOf(outcome, supply);
    if (refusal) answerFailure(reply, refusal, this.ctx.codec, mayRepeat(this.policy.route));
    const { clock, metrics, recorder } = this.ctx;
    const route = this.policy.route.name;
    const tookMs = clock.now() - this.#startedAt;
    metrics.requests.inc({ route, end: refusal?.code ?? kind });
    metrics.duration.observe({ route }, tookMs / 1_000);
    if (this.#firstByteAt !== undefined) {
      metrics.firstByte.observe({ route }, (this.#firstByteAt - this.#startedAt) / 1_000);
    }
    const facts = {
      end: refusal?.code ?? kind,
      attempts,
      tookMs: Math.round(tookMs),
      firstMs: Math.round((this.#firstByteAt ?? clock.now()) - this.#startedAt),
      events: this.call.events.events,
      connection: this.#connectionState,
      route,
      ...(this.#reserved > 0 && { units: this.#charged }),
      ...(refusal?.retryAfterMs !== undefined && {
        retryAfterMs: Math.round(refusal.retryAfterMs),
      }),
      ...(supply && {
        registered: supply.registered,
        paused: supply.paused,
        limited: supply.limited,
        ...(supply.evacuated !== undefined && { evacuated: supply.evacuated }),
      }),
    };
    const name = { refused: 'callRefused', failed: 'callFailed' } as const;
    const event = kind === 'refused' || kind === 'failed' ? name[kind] : 'callEnded';
    recorder.record(event, {
      request: head.id,
      ...(refusal && { detail: refusal.subject }),
      ...(this.policy.workspace && { budget: this.policy.workspace.name }),
      facts,
    });
  }
}
