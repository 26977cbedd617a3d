/** Executes the commands of the serving procedure for one request. */
import { Err, failure, Ok } from '../kernel/index.js';

import type { Route, Tenant, UpstreamDocument } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { Claim, ServeCommand, ServeEvent } from '../request/index.js';
import type { ServingContext } from './servingcontext.js';

/** Input of one request: the caller's tenant, the route and the shared components. */
export interface RunInput {
  readonly serving: ServingContext;
  readonly tenant: Tenant;
  readonly route: Route;
  readonly key: string;
  /** Whether the caller gave the key, so that an earlier attempt may exist. */
  readonly keyGiven: boolean;
  /** Largest number of units that the request can cost. */
  readonly worstCase: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** One request in progress; each subclass implements the protocol of one kind of upstream. */
export abstract class RequestRun {
  #reserved = 0;

  #attempts = 0;

  #upstream: UpstreamDocument | undefined;

  #idempotencyClaim: Claim | undefined;

  #holdsWorkspaceSlot = false;

  #dispatchedAt = 0;

  /** Whether the first byte of the answer to the current attempt has arrived. */
  #answerStarted = false;

  /**
   * Creates the run of one request.
   * @param input - tenant, route, idempotency key and shared components
   */
  constructor(readonly input: RunInput) {}

  /** Whether an upstream may have received the request. */
  get dispatched(): boolean {
    return this.#attempts > 0;
  }

  /**
   * Executes one command.
   * @param command - command that the serving procedure yielded
   * @returns the event with which the procedure resumes
   */
  async perform(command: ServeCommand): Promise<ServeEvent> {
    switch (command.type) {
      case 'reserve':
        return this.#reserve(command.units);
      case 'claim':
        return this.#claim();
      case 'unclaim':
        return this.#withdrawClaim();
      case 'choose':
        return this.#choose(command.excluded);
      case 'dispatch':
        return this.#dispatch();
      case 'relay':
        return this.#relay();
      case 'record':
        return this.#record(command.units);
      default:
        return this.#release();
    }
  }

  /**
   * Sends the request to an upstream.
   * @param upstream - the upstream
   * @param attempt - unique id of the attempt
   * @returns a failure if the upstream did not accept the request
   */
  protected abstract send(
    upstream: UpstreamDocument,
    attempt: string,
  ): Promise<Result<void, Failure>>;

  /**
   * Relays the answer to the caller, except for its last frame: that may only be sent once the
   * charge is durable.
   * @returns the units that were used, or the failure that interrupted the answer
   */
  protected abstract relayAnswer(): Promise<ServeEvent>;

  async #reserve(units: number): Promise<ServeEvent> {
    const { serving, tenant } = this.input;
    const { budget } = tenant;
    const waitMs = serving.settings.limits.admissionMs;
    const deadline = performance.now() + waitMs;
    const admitted = await serving.admission.admit({
      request: this.input.key,
      budget,
      units,
      waitMs,
    });
    if (admitted.err) return { type: 'failed', fail: admitted.val };
    this.#reserved = units;
    const isDurable = await serving.charges.registerReservation(
      { budget, units },
      deadline - performance.now(),
    );
    if (!isDurable) return this.#refuseNotDurable();
    serving.recorder.record('requestAdmitted', { request: this.input.key, budget });
    return { type: 'done' };
  }

  async #refuseNotDurable(): Promise<ServeEvent> {
    await this.#release();
    return { type: 'failed', fail: failure('no-durability', this.input.tenant.budget) };
  }

  async #claim(): Promise<ServeEvent> {
    const { serving, tenant, key } = this.input;
    const made = await serving.claims.acquire({ workspace: tenant.workspace.name, key });
    if (made.err) return { type: 'failed', fail: made.val };
    this.#idempotencyClaim = made.val;
    return { type: 'done' };
  }

  async #withdrawClaim(): Promise<ServeEvent> {
    if (this.#idempotencyClaim) await this.input.serving.claims.withdraw(this.#idempotencyClaim);
    return { type: 'done' };
  }

  async #choose(excluded: readonly string[]): Promise<ServeEvent> {
    const { serving, route, tenant, signal } = this.input;
    const { workspace } = tenant;
    if (signal.aborted) {
      return { type: 'failed', fail: failure('upstream-unavailable', 'the caller disconnected') };
    }
    const limited = this.#holdsWorkspaceSlot
      ? undefined
      : serving.routing.acquireWorkspaceSlot(workspace);
    if (limited) return { type: 'failed', fail: limited };
    this.#holdsWorkspaceSlot = true;
    const digests = this.promptDigests();
    const chosen = await serving.routing.chooseUpstream({
      workspace,
      route,
      digests,
      excluded,
      signal,
    });
    if (chosen.err) return { type: 'failed', fail: chosen.val };
    this.#upstream = chosen.val;
    return { type: 'chosen', upstream: this.#upstream.name };
  }

  async #dispatch(): Promise<ServeEvent> {
    const { serving, key, route, tenant } = this.input;
    const upstream = this.#upstream;
    if (!upstream) return { type: 'failed', fail: failure('upstream-unavailable', 'route') };
    // The choice may be stale if the process was suspended or the request was queued in between.
    if (!serving.plans.mayReceive(upstream.name)) {
      serving.routing.end(route, upstream.name, tenant.workspace.name, false);
      return {
        type: 'failed',
        fail: failure('upstream-unavailable', `${upstream.name} leaves`),
      };
    }
    this.#attempts += 1;
    if (this.input.keyGiven) {
      const workspace = tenant.workspace.name;
      void serving.keys.recordProgress({ workspace, key }, 'running', upstream.name);
    }
    serving.open.add(upstream.name, 1);
    this.#dispatchedAt = performance.now();
    this.#answerStarted = false;
    serving.recorder.record('requestDispatched', { request: key, upstream: upstream.name });
    const sent = await this.send(upstream, `${key}.${serving.self}.${this.#attempts}`);
    if (sent.ok) return { type: 'done' };
    this.#endAttempt(upstream, sent.val.code !== 'upstream-refused');
    return { type: 'failed', fail: sent.val };
  }

  async #relay(): Promise<ServeEvent> {
    const result = await this.relayAnswer();
    const failed = result.type === 'cut' && !this.input.signal.aborted;
    if (this.#upstream) this.#endAttempt(this.#upstream, failed);
    return result;
  }

  async #record(units: number): Promise<ServeEvent> {
    const { serving, tenant, key } = this.input;
    const { budget, workspace } = tenant;
    this.#releaseWorkspaceSlot();
    await serving.budgets.ask({ type: 'settle', budget, reserved: this.#reserved, used: units });
    const charge = { key, workspace: workspace.name, budget, units };
    if (await serving.charges.record(charge, this.#reserved)) return { type: 'done' };
    return { type: 'failed', fail: failure('no-durability', `key ${key}`, 'interrupted') };
  }

  async #release(): Promise<ServeEvent> {
    const { serving, tenant } = this.input;
    this.#releaseWorkspaceSlot();
    const { budget } = tenant;
    serving.charges.release({ budget, units: this.#reserved });
    await serving.budgets.ask({ type: 'settle', budget, reserved: this.#reserved, used: 0 });
    return { type: 'done' };
  }

  /** Digests of the prompt at its block boundaries; empty for calls without a prompt. */
  protected promptDigests(): readonly number[] {
    return [];
  }

  /** Reports the time to the first byte of the answer to the routing, once per attempt. */
  protected noteFirstByte(): void {
    if (this.#answerStarted) return;
    this.#answerStarted = true;
    const { serving, route } = this.input;
    const delayMs = performance.now() - this.#dispatchedAt;
    if (this.#upstream) serving.routing.noteFirstByte(route, this.#upstream.name, delayMs);
  }

  #endAttempt(upstream: UpstreamDocument, isFailed: boolean): void {
    const { serving, route, tenant } = this.input;
    serving.open.add(upstream.name, -1);
    serving.routing.end(route, upstream.name, tenant.workspace.name, isFailed);
  }

  #releaseWorkspaceSlot(): void {
    if (this.#holdsWorkspaceSlot)
      this.input.serving.routing.releaseWorkspaceSlot(this.input.tenant.workspace);
    this.#holdsWorkspaceSlot = false;
  }

  /** Result of an attempt that the upstream accepted. */
  protected static accepted(): Result<void, Failure> {
    return Ok(undefined);
  }

  /** Result of an attempt that failed. */
  protected static rejected(fail: Failure): Result<void, Failure> {
    return Err(fail);
  }
}
