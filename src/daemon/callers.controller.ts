/** The callers' interface: model requests and calls to plain services. */
import { All, Controller, Inject, Post, Req, Res } from '@nestjs/common';

import type { FastifyReply, FastifyRequest } from 'fastify';
import {
  drive,
  failure,
  FAILURE_KINDS,
  formatFailure,
  newRequestKey,
  retryAfter,
  sha256,
} from '../kernel/index.js';
import { parseChatRequest, serve, worstCase } from '../request/index.js';
import { ModelRun } from './modelrun.js';
import { Runtime } from './runtime.js';
import { ServiceRun } from './servicerun.js';
import { StreamSink } from './streamsink.js';
import { WholeSink } from './wholesink.js';

import type { Route, Tenant } from '../config/index.js';
import type { Failure } from '../kernel/index.js';
import type { RunInput } from './requestrun.js';

/** A caller whose key and route were found. */
interface Admitted {
  readonly tenant: Tenant;
  readonly route: Route;
}

/** Prefix of the paths that are passed to plain services. */
const SERVICE_PREFIX = '/services/';

function bearer(req: FastifyRequest): string {
  const header = req.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}

function requestKey(req: FastifyRequest): string {
  const given = req.headers['idempotency-key'];
  return typeof given === 'string' && given !== '' ? given : newRequestKey();
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

/** Serves callers. */
@Controller()
export class CallersController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Answers a chat completion request, streamed or whole.
   * @param req - HTTP request
   * @param reply - HTTP reply
   */
  @Post('/v1/chat/completions')
  async complete(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const key = requestKey(req);
    const parsed = parseChatRequest(parseJson(req.body));
    if (parsed.err) {
      this.#refuse(reply, key, parsed.val);
      return;
    }
    const admitted = this.#admit(req, parsed.val.model, 'model');
    if (isFailure(admitted)) {
      this.#refuse(reply, key, admitted);
      return;
    }
    reply.hijack();
    const chat = parsed.val;
    const sink = chat.stream ? new StreamSink(reply.raw, key) : new WholeSink(reply.raw, key);
    const input = this.#input(reply, key, admitted, worstCase(chat, admitted.route));
    const run = new ModelRun(input, chat, sink);
    const { route } = admitted;
    const outcome = await drive(
      serve({ worstCase: input.worstCase, idempotent: true, retries: route.retries }),
      (command) => run.perform(command),
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
   * Passes a call to a plain service.
   * @param req - HTTP request
   * @param reply - HTTP reply
   */
  @All('/services/*')
  async pass(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const key = requestKey(req);
    const [name = '', ...rest] = req.url.slice(SERVICE_PREFIX.length).split('/');
    const admitted = this.#admit(req, name, 'service');
    if (isFailure(admitted)) {
      this.#refuse(reply, key, admitted);
      return;
    }
    const { route } = admitted;
    const input = this.#input(reply, key, admitted, route.unitsPerCall);
    const run = new ServiceRun(input, {
      method: req.method,
      path: `/${rest.join('/')}`,
      contentType: req.headers['content-type'] ?? 'application/octet-stream',
      body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
    });
    const { idempotent, retries } = route;
    const outcome = await drive(
      serve({ worstCase: input.worstCase, idempotent, retries }),
      (command) => run.perform(command),
    );
    if (outcome.type === 'refused') {
      this.#refuse(reply, key, outcome.fail);
      return;
    }
    this.runtime.recorder.record('requestAnswered', { request: key });
    await reply
      .status(run.answer?.status ?? 200)
      .headers({ 'idempotency-key': key, 'content-type': run.answer?.contentType ?? '' })
      .send(run.answer?.body);
  }

  #admit(req: FastifyRequest, routeName: string, kind: Route['kind']): Admitted | Failure {
    const { current } = this.runtime.serving.config;
    if (!current || !this.runtime.ready) return failure('not-ready', 'daemon');
    const tenant = current.tenant(sha256(bearer(req)));
    if (!tenant) return failure('unknown-key', 'authorization');
    if (tenant.workspace.state === 'closed') {
      return failure('workspace-closed', tenant.workspace.name);
    }
    const route = current.route(routeName);
    if (route?.kind !== kind) return failure('unknown-route', `${kind} route "${routeName}"`);
    return { tenant, route };
  }

  #input(reply: FastifyReply, key: string, admitted: Admitted, units: number): RunInput {
    const caller = new AbortController();
    reply.raw.once('close', () => {
      if (!reply.raw.writableEnded) caller.abort();
    });
    const { tenant, route } = admitted;
    const { serving } = this.runtime;
    return { serving, tenant, route, key, worstCase: units, signal: caller.signal };
  }

  #refuse(reply: FastifyReply, key: string, fail: Failure): void {
    this.#recordRefusal(key, fail);
    void reply
      .status(FAILURE_KINDS[fail.code].status)
      .headers({ 'idempotency-key': key, ...retryAfter(fail) })
      .send(formatFailure(fail));
  }

  #recordRefusal(key: string, fail: Failure): void {
    const detail = `${fail.code}: ${fail.subject}`;
    this.runtime.recorder.record('requestRefused', { request: key, detail });
  }
}
