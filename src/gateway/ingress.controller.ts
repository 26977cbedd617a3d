/** Handles all requests of callers, whatever their method, path or content type. */
import { All, Controller, Inject, Req, Res } from '@nestjs/common';

import { setImmediate as nextTurn } from 'node:timers/promises';

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { FastifyReply, FastifyRequest } from 'fastify';
import { failure } from '../kernel/index.js';
import { askForBody, SocketHold } from '../ingress/index.js';
import {
  drainBody,
  MAX_DRAIN_MS,
  MAX_DRAIN_RATIO,
  readBody,
  statedLength,
} from '../request/index.js';
import { answerFailure, internalFailure } from './answerfailure.js';
import { CallRun, TIMEOUT_SLACK_MS } from './callrun.js';
import { timeLimitMs } from './configuration.js';
import { EventStream } from './eventstream.js';
import { HttpReply } from './httpreply.js';
import { requestTarget } from './requesttarget.js';
import { GatewayRuntime } from './runtime.js';

import type { Failure, FailureCode } from '../kernel/index.js';
import type { Arrival, BodyRoom, CallerConnection } from '../ingress/index.js';
import type { Call } from './attempt.js';
import type { CallPolicy } from './callrun.js';
import type { EventSubject } from '../telemetry/index.js';
import type { ReadBody } from '../request/index.js';
import type { CallerLimits, GatewayRoute } from './configuration.js';
import type { RequestHandle } from './openrequests.js';
import type { CallHead } from './protocol.js';
import type { RouteTable } from './routetable.js';

/** Retry delay sent to callers while the daemon starts, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/**
 * Least retry delay sent to callers of an overloaded or stopping daemon, in milliseconds. It is short, as the
 * retry usually reaches another daemon.
 */
const OTHER_DAEMON_RETRY_MS = 100;

/** Least retry delay sent to callers for whom other daemons are known to have room, in milliseconds. */
const ELSEWHERE_RETRY_MS = 10;

/**
 * Least retry delay sent to callers whose bodies find no room, in milliseconds: other daemons are as full if all of them
 * get large bodies.
 */
const MEMORY_RETRY_MS = 300;

/** Limits on callers' requests before the first configuration is applied. */
const DEFAULT_LIMITS: Pick<CallerLimits, 'bodyBytes'> = { bodyBytes: 4_194_304 };

/** Returns a random retry delay for a caller that should use another daemon, so that callers do not all retry at once. */
function otherDaemonRetryMs(): number {
  return OTHER_DAEMON_RETRY_MS * (1 + Math.random());
}

/**
 * Returns a random retry delay for a caller that another daemon can serve at once. It only spreads the callers that are
 * sent away together.
 */
function elsewhereRetryMs(): number {
  return ELSEWHERE_RETRY_MS * (1 + Math.random());
}

/** Returns the refusal of a request for which there is no memory. */
function memoryFull(subject: string): Failure {
  return {
    ...failure('memory-full', subject),
    retryAfterMs: MEMORY_RETRY_MS * (1 + Math.random()),
  };
}

/** Returns the time at which a request has ended at the latest, in milliseconds. */
function endTime(route: GatewayRoute, { deadlineMs }: CallHead, { at }: Arrival): number {
  return at + timeLimitMs(route, deadlineMs) + TIMEOUT_SLACK_MS;
}

/** Reply, connection and arrival of one request. */
interface Exchange {
  readonly caller: HttpReply;
  readonly connection: CallerConnection;
  readonly arrival: Arrival;
  readonly open: RequestHandle;
  /** Room for its body. */
  readonly room: BodyRoom;
}

/** Serves callers. */
@Controller()
export class IngressController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(GatewayRuntime) private readonly runtime: GatewayRuntime) {}

  /**
   * Handles one request.
   * @param request - the request
   * @param reply - its reply, written without the framework
   */
  @All('*')
  async handle(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    reply.hijack();
    const { runtime } = this;
    const connection = runtime.callers.of(request.raw.socket);
    if (connection.isClosing) {
      runtime.recorder.record('callEnded', {
        detail: 'not run: an earlier answer closes the connection',
      });
      // Reading on shows when the caller leaves.
      request.raw.resume();
      return;
    }
    const arrival = connection.arrived(runtime.clock.now());
    const { socket } = request.raw;
    const open = runtime.openRequests.add();
    runtime.metrics.open.inc();
    const isClosing = (): boolean =>
      (runtime.isStopping || runtime.closesConnections || connection.hasEnded) &&
      connection.isLast(arrival);
    const caller = new HttpReply(reply.raw, connection, isClosing);
    const room = runtime.bodyGate.open(connection, this.#bodyLimit);
    let isAdmitted = false;
    try {
      const run = await this.#admit(request, reply.raw, {
        caller,
        connection,
        arrival,
        open,
        room,
      });
      isAdmitted = run !== undefined;
      await run?.run();
      // Parts of the answer may wait for the caller to read; the run and its body are not needed for that.
      if (isAdmitted && !runtime.openRequests.isStopped) open.onStop(() => caller.abortAnswer());
    } catch (err) {
      runtime.recorder.record('requestFailed', { detail: String(err) });
      if (caller.isBegun) caller.abortUnfinished();
      else {
        const refusal = internalFailure(request.originalUrl, isAdmitted);
        answerFailure(caller, refusal, runtime.adapter.headers);
      }
    } finally {
      room.release();
      if (caller.isBegun) await caller.finished;
      if (caller.isUnsent) {
        const facts = { isStopping: runtime.isStopping, unsentBytes: caller.unsentBytes };
        runtime.recorder.record('answerUnsent', { request: open.id, facts });
      }
      const { callerSide } = connection;
      if (callerSide === 'half-closed' || callerSide === 'silent')
        runtime.recorder.record('callerHalfClosed', { request: open.id, facts: { callerSide } });
      connection.answered(runtime.clock.now());
      runtime.readAhead.answered(socket);
      open.end();
      runtime.metrics.open.dec();
    }
  }

  /**
   * Reads a request, applies its policy and waits for its turn.
   * @returns its run, which has not begun; undefined if the request was answered or its caller has disconnected
   */
  async #admit(
    request: FastifyRequest,
    res: ServerResponse,
    exchange: Exchange,
  ): Promise<CallRun | undefined> {
    const { caller, connection, arrival, open, room } = exchange;
    const { raw: req } = request;
    const { host, path: target } = requestTarget(request.originalUrl, req.headers.host ?? '');
    const { headers: codec } = this.runtime.adapter;
    const head = codec.decodeCall(req.rawHeaders);
    const lengthBytes = statedLength(req.headers);
    if (lengthBytes !== 0) {
      // Nothing of a request that can't be served takes memory.
      const found = this.#match(head, host, target);
      const isTooLarge = (lengthBytes ?? 0) > this.#bodyLimit;
      const refusal = 'code' in found ? found : isTooLarge && failure('body-too-large', target);
      if (refusal) {
        // Requests behind this one that have arrived are counted first: its answer may announce the close.
        await nextTurn();
        await this.#refuseUnread(req, head, exchange, refusal);
        return undefined;
      }
    }
    let body: ReadBody;
    if (!this.runtime.openRequests.isStopped) {
      open.onStop(() => {
        const refusal = failure('not-ready', target);
        this.#refuse(caller, head, { ...refusal, retryAfterMs: otherDaemonRetryMs() });
        // An answer that is sent before the end of the body does not end the wait for the rest.
        void caller.finished.then(() => req.destroy());
      });
    }
    const endReading = connection.reads(arrival.at, () => room.revoke());
    try {
      body = await readBody({
        source: req,
        ...(lengthBytes === undefined && { connection: SocketHold.of(req.socket) }),
        lengthBytes,
        limitBytes: this.#bodyLimit,
        room,
        onAdmitted: () => askForBody(req, res),
      });
    } catch (err) {
      if (caller.isBegun) return undefined;
      // The caller disconnected before its request was complete.
      this.runtime.recorder.record('callEnded', { request: head.id, detail: String(err) });
      return undefined;
    } finally {
      endReading();
    }
    if (caller.isBegun) return undefined;
    if (body.isRefused || body.isTooLarge) {
      const refusal = body.isTooLarge ? failure('body-too-large', target) : memoryFull('body');
      await this.#refuseUnread(req, head, exchange, refusal);
      return undefined;
    }
    connection.wasRead();
    this.runtime.readAhead.wasRead(req.socket);
    open.onStop(() => undefined);
    room.wasRead();
    const { callContext } = this.runtime;
    const found = this.#policyOf(head, host, target, arrival);
    if (!('code' in found) && !this.runtime.hasRoom(req.socket)) {
      this.#refuse(caller, head, memoryFull(found.route.name), this.#memoryFacts);
      return undefined;
    }
    if ('code' in found || !callContext) {
      const refusal = 'code' in found ? found : failure('not-ready', target);
      this.#refuse(caller, head, refusal);
      return undefined;
    }
    open.describe(head.id, found.route.name);
    open.reach('queued');
    const { requestQueue } = this.runtime;
    const endsAt = endTime(found.route, head, arrival);
    const waitMs = this.runtime.longestWaitMs(endsAt);
    const isElsewhere =
      !this.runtime.isStopping && this.runtime.sendsElsewhere(head.id, found.route.targetMs);
    const outcome = isElsewhere ? 'overloaded' : await requestQueue.waitForTurn(connection, waitMs);
    if (outcome === 'left') {
      this.#recordDisconnect(head.id, arrival);
      return undefined;
    }
    const isAccepted =
      outcome === 'begin' &&
      this.runtime.acceptsRequest(head.id, 'queued', found.route.name, endsAt);
    if (!isAccepted) {
      const isOverloaded = outcome === 'overloaded' && !this.runtime.isStopping;
      const code = isOverloaded ? 'overloaded' : 'not-ready';
      const refusal = failure(code, found.route.name);
      this.#refuse(
        caller,
        head,
        { ...refusal, retryAfterMs: isElsewhere ? elsewhereRetryMs() : otherDaemonRetryMs() },
        requestQueue.facts,
      );
      return undefined;
    }
    const call: Call = {
      head,
      method: req.method ?? 'GET',
      target,
      body: body.buffers,
      reply: caller,
      events: new EventStream(),
    };
    const run = new CallRun(callContext, call, found, arrival);
    open.reach('running');
    open.onStop(() => {
      const wasBegun = caller.isBegun;
      run.stop();
      // The run may have ended while parts of its answer wait for the caller to read.
      if (wasBegun) caller.abortAnswer();
    });
    return run;
  }

  /** Largest body that is read, in bytes. */
  get #bodyLimit(): number {
    return (this.runtime.callerLimits ?? DEFAULT_LIMITS).bodyBytes;
  }

  /**
   * Refuses a request whose body was not read to its end. The caller gets the answer at once, and what it still sends is
   * read within bounds, so that the answer reaches it.
   */
  async #refuseUnread(
    req: IncomingMessage,
    head: CallHead,
    { caller, connection, arrival, open, room }: Exchange,
    refusal: Failure,
  ): Promise<void> {
    room.release();
    if (caller.isDisconnected) {
      this.#recordDisconnect(head.id, arrival);
      return;
    }
    caller.holdEnd(refusal.code === 'body-too-large');
    const facts = refusal.code === 'memory-full' ? this.#memoryFacts : {};
    this.#refuse(caller, head, refusal, facts);
    open.onStop(() => {
      caller.end();
      void caller.finished.then(() => req.destroy());
    });
    const bounds = { bytes: this.#bodyLimit * MAX_DRAIN_RATIO, ms: MAX_DRAIN_MS };
    const endDiscarding = connection.discards(this.runtime.clock.now());
    const end = await drainBody(req, bounds, (bytes) => room.passed(bytes));
    endDiscarding();
    if (end === 'ended') {
      connection.wasRead();
      this.runtime.readAhead.wasRead(req.socket);
      caller.end();
    } else {
      this.runtime.recorder.record('callEnded', { request: head.id, detail: `body ${end}` });
      req.destroy();
    }
  }

  get #memoryFacts(): Readonly<Record<string, number>> {
    const { bodyGate, openRequests } = this.runtime;
    return { ...bodyGate.facts, taken: openRequests.taken };
  }

  /** Finds the route and the workspace of a request by its head. */
  #match(head: CallHead, host: string, target: string): CallPolicy | Failure {
    const { table } = this.runtime.routingState;
    const notReady = { ...failure('not-ready', target), retryAfterMs: NOT_READY_RETRY_MS };
    if (!table || !this.runtime.callContext) return notReady;
    const route = table.route(host, target);
    if (!route) return failure('unknown-route', `${host}${target}`);
    const workspace = this.#workspaceOf(table, head, route.isPublic);
    return workspace === 'unknown'
      ? failure('unknown-key', route.name)
      : { table, route, workspace };
  }

  /** Decides whether a request that was read completely is served, by the configuration in force now. */
  #policyOf(head: CallHead, host: string, target: string, arrival: Arrival): CallPolicy | Failure {
    const found = this.#match(head, host, target);
    if ('code' in found) return found;
    const { name } = found.route;
    const endsAt = endTime(found.route, head, arrival);
    return this.runtime.acceptsRequest(head.id, 'reading', name, endsAt)
      ? found
      : { ...failure('not-ready', target), retryAfterMs: otherDaemonRetryMs() };
  }

  #workspaceOf(
    table: RouteTable,
    { key }: CallHead,
    isPublic: boolean,
  ): CallPolicy['workspace'] | 'unknown' {
    if (!table.hasKeys || isPublic) return undefined;
    return table.workspace(key) ?? 'unknown';
  }

  /** Records a caller that disconnected while its request was queued. */
  #recordDisconnect(request: string, { at, connectionMs, earlier }: Arrival): void {
    this.runtime.metrics.requests.inc({ route: 'none', end: 'left' });
    const waitedMs = Math.round(this.runtime.clock.now() - at);
    const facts = { end: 'left', waitedMs, connectionMs: Math.round(connectionMs), earlier };
    this.runtime.recorder.record('callEnded', { request, facts });
  }

  #refuse(
    caller: HttpReply,
    head: CallHead,
    refusal: Failure,
    extraFacts: EventSubject['facts'] = {},
  ): void {
    answerFailure(caller, refusal, this.runtime.adapter.headers);
    const version = this.runtime.routingState.table?.configuration.version ?? 0;
    const end: FailureCode = refusal.code;
    this.runtime.metrics.requests.inc({ route: 'none', end });
    this.runtime.recorder.record('callRefused', {
      request: head.id,
      detail: refusal.subject,
      facts: { end, version, ...extraFacts },
    });
  }
}
