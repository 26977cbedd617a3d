/** HTTP interface for callers: model requests and calls to plain services. */
import { All, Controller, Inject, Post, Req, Res } from '@nestjs/common';

import type { FastifyReply, FastifyRequest } from 'fastify';
import {
  failure,
  FAILURE_KINDS,
  formatFailure,
  newRequestKey,
  retryAfter,
  sha256,
} from '../kernel/index.js';
import { parseChatRequest, worstCaseUnits } from '../request/index.js';
import { refuseKeyed, serveKeyed } from './keyedrun.js';
import { ModelRun } from './modelrun.js';
import { Runtime } from './runtime.js';
import { ServiceRun } from './servicerun.js';
import { StreamSink } from './streamsink.js';
import { JsonSink } from './jsonsink.js';

import type { Route, Tenant } from '../config/index.js';
import type { Failure } from '../kernel/index.js';
import type { RunInput } from './requestrun.js';

/** HTTP request and reply of a caller, with the idempotency key. */
interface Exchange {
  readonly req: FastifyRequest;
  readonly reply: FastifyReply;
  readonly key: string;
  /** Whether the caller sent the key; otherwise it was generated. */
  readonly keyGiven: boolean;
}

/** Tenant and route of a request. */
interface ResolvedCaller {
  readonly tenant: Tenant;
  readonly route: Route;
}

/** Path prefix of calls to plain services. */
const SERVICE_PREFIX = '/services/';

function bearerToken(req: FastifyRequest): string {
  const header = req.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}

function exchangeOf(req: FastifyRequest, reply: FastifyReply): Exchange {
  const given = req.headers['idempotency-key'];
  const keyGiven = typeof given === 'string' && given !== '';
  return { req, reply, key: keyGiven ? given : newRequestKey(), keyGiven };
}

function isFailure(value: object): value is Failure {
  return 'code' in value;
}

function parseJson(body: unknown): unknown {
  try {
    return JSON.parse((body as Buffer).toString());
  } catch {
    return undefined;
  }
}

/** Serves the requests of callers. */
@Controller()
export class CallersController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Answers a chat completion request, as an event stream or as one JSON body.
   * @param req - HTTP request
   * @param reply - HTTP reply
   */
  @Post('/v1/chat/completions')
  async complete(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const exchange = exchangeOf(req, reply);
    const { key } = exchange;
    const parsed = parseChatRequest(parseJson(req.body));
    if (parsed.err) {
      await this.#refuse(exchange, parsed.val);
      return;
    }
    const chat = parsed.val;
    const resolved = this.#resolveCaller(req, chat.model, 'model');
    if (isFailure(resolved)) {
      await this.#refuseEarly(exchange, resolved);
      return;
    }
    reply.hijack();
    const sink = chat.stream ? new StreamSink(reply.raw, key) : new JsonSink(reply.raw, key);
    const input = this.#runInput(exchange, resolved, worstCaseUnits(chat, resolved.route));
    const run = new ModelRun(input, chat, sink);
    const digest = sha256(String(req.body));
    const { retries } = resolved.route;
    const outcome = await this.runtime.active.trackWork(
      input.tenant.workspace.name,
      serveKeyed(run, { idempotent: true, retries }, digest),
    );
    if (outcome.type === 'whole') {
      sink.finish();
      this.runtime.recorder.record('requestAnswered', { request: key });
    } else {
      sink.refuse(outcome.fail);
      this.#recordRefusal(key, outcome.fail);
    }
  }

  /**
   * Forwards a call to a plain service.
   * @param req - HTTP request
   * @param reply - HTTP reply
   */
  @All('/services/*')
  async callService(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const exchange = exchangeOf(req, reply);
    const { key } = exchange;
    const [name = '', ...rest] = req.url.slice(SERVICE_PREFIX.length).split('/');
    const resolved = this.#resolveCaller(req, name, 'service');
    if (isFailure(resolved)) {
      await this.#refuseEarly(exchange, resolved);
      return;
    }
    const { idempotent, retries, unitsPerCall } = resolved.route;
    const input = this.#runInput(exchange, resolved, unitsPerCall);
    const run = new ServiceRun(input, {
      method: req.method,
      path: `/${rest.join('/')}`,
      contentType: req.headers['content-type'] ?? 'application/octet-stream',
      body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
    });
    const digest = sha256(`${req.method} ${req.url}\n${String(req.body ?? '')}`);
    const outcome = await this.runtime.active.trackWork(
      input.tenant.workspace.name,
      serveKeyed(run, { idempotent, retries }, digest),
    );
    if (outcome.type === 'refused') {
      await this.#refuse(exchange, outcome.fail);
      return;
    }
    this.runtime.recorder.record('requestAnswered', { request: key });
    await reply
      .status(run.answer?.status ?? 200)
      .headers({ 'idempotency-key': key, 'content-type': run.answer?.contentType ?? '' })
      .send(run.answer?.body);
  }

  #resolveCaller(
    req: FastifyRequest,
    routeName: string,
    kind: Route['kind'],
  ): ResolvedCaller | Failure {
    const { current } = this.runtime.serving.config;
    if (!current || !this.runtime.ready) return failure('not-ready', 'daemon');
    const tenant = current.tenant(sha256(bearerToken(req)));
    if (!tenant) return failure('unknown-key', 'authorization');
    const { state, name } = tenant.workspace;
    if (state === 'closed' || this.runtime.serving.plans.hasClosed(name)) {
      return failure('workspace-closed', name);
    }
    const route = current.route(routeName);
    if (route?.kind !== kind) return failure('unknown-route', `${kind} route "${routeName}"`);
    return { tenant, route };
  }

  #runInput(exchange: Exchange, resolved: ResolvedCaller, units: number): RunInput {
    const { reply, key, keyGiven } = exchange;
    const callerLeft = new AbortController();
    const { callers } = this.runtime;
    const stopListening = callers.of(exchange.req.raw.socket).onEnd(() => {
      if (!reply.raw.writableEnded) callerLeft.abort();
    });
    reply.raw.once('close', stopListening);
    const { tenant, route } = resolved;
    const { serving } = this.runtime;
    const { signal } = callerLeft;
    const detail = `route ${route.name}, at most ${units} units`;
    serving.recorder.record('requestReceived', { request: key, budget: tenant.budget, detail });
    return { serving, tenant, route, key, keyGiven, worstCase: units, signal };
  }

  /**
   * Refuses a request before it is served. If the caller sent the key, an earlier request with that
   * key may have run, which determines the outcome that the refusal states.
   */
  async #refuseEarly(exchange: Exchange, fail: Failure): Promise<void> {
    const { serving } = this.runtime;
    const tenant = serving.config.current?.tenant(sha256(bearerToken(exchange.req)));
    if (!exchange.keyGiven || !tenant) {
      await this.#refuse(exchange, fail);
      return;
    }
    const name = { workspace: tenant.workspace.name, key: exchange.key };
    await this.#refuse(exchange, await refuseKeyed(serving, name, fail));
  }

  async #refuse({ reply, key }: Exchange, fail: Failure): Promise<void> {
    this.#recordRefusal(key, fail);
    await reply
      .status(FAILURE_KINDS[fail.code].status)
      .headers({ 'idempotency-key': key, ...retryAfter(fail) })
      .send(formatFailure(fail));
  }

  #recordRefusal(key: string, fail: Failure): void {
    const detail = `${fail.code}: ${fail.subject}`;
    const name = fail.outcome === 'interrupted' ? 'requestCut' : 'requestRefused';
    this.runtime.recorder.record(name, { request: key, detail });
  }
}
