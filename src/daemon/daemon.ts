/** One daemon with its HTTP listener. */
import 'reflect-metadata';

import { setTimeout as delay } from 'node:timers/promises';

import type { Readable } from 'node:stream';

import type { Socket } from 'node:net';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';

import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { closeListener, freshPoll } from '../ingress/index.js';
import { failure, FailureError, SteadyClock } from '../kernel/index.js';
import { drainBody, MAX_DRAIN_MS, MAX_DRAIN_RATIO, readBody } from '../request/index.js';
import { AppModule } from './app.module.js';
import { FailureFilter } from './failure.filter.js';
import { limitConnections, watchListener } from './listenerwatch.js';
import { refuseMalformedRequests } from './malformedrequests.js';
import { Runtime } from './runtime.js';
import { splitAddress } from './settings.js';

import type { Settings } from './settings.js';

/** Interval at which a graceful stop checks for active requests, in milliseconds. */
const DRAIN_POLL_MS = 50;

/** Shortest time for which a stopping daemon keeps answering, in milliseconds. */
const MIN_DRAIN_MS = 500;

/**
 * Time for which a stopping daemon waits for the rest of requests that it has received in part, in milliseconds. They
 * have not run.
 */
const UNREAD_DRAIN_MS = 2_000;

/** Time for which a stopped daemon waits until its connections close, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Path prefixes of operators and of the load balancer; a graceful stop does not wait for them. */
const NON_CALLER_PATHS = ['/operator/', '/healthz', '/readyz'];

function isCallerPath(url: string): boolean {
  return !NON_CALLER_PATHS.some((path) => url.startsWith(path));
}

/** Starts and stops a daemon. */
export class Daemon {
  private readonly clock = new SteadyClock();

  private constructor(
    readonly runtime: Runtime,
    private readonly app: NestFastifyApplication,
  ) {}

  /**
   * Starts a daemon.
   * @param settings - validated settings
   * @returns the daemon, once it listens
   */
  static async start(settings: Settings): Promise<Daemon> {
    const runtime = new Runtime(settings);
    const adapter = new FastifyAdapter({
      // The controllers refuse new requests during a stop, with a body that states the outcome.
      return503OnClosing: false,
    });
    const module = AppModule.forRuntime(runtime);
    const app = await NestFactory.create<NestFastifyApplication>(module, adapter, {
      logger: false,
      bodyParser: false,
    });
    const fastify = adapter.getInstance();
    fastify.addHook('onRequest', (req, reply, done) => {
      if (isCallerPath(req.url)) runtime.active.trackResponse(req.raw, reply.raw);
      if (runtime.stopping) void reply.header('connection', 'close');
      done();
    });
    fastify.addHook('preHandler', async (req, reply) => {
      if (isCallerPath(req.url)) await Daemon.#waitForTurn(runtime, req, reply);
    });
    const server = app.getHttpServer();
    watchListener(server, 'callers', runtime.recorder);
    refuseMalformedRequests(server);
    await limitConnections(server, runtime.recorder);
    server.on('connection', (socket: Socket) => {
      runtime.callers.of(socket);
      runtime.requestQueue.accepted();
    });
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_req: FastifyRequest, payload: Readable) =>
      Daemon.#parseBody(payload, settings.limits.bodyBytes),
    );
    app.useGlobalFilters(new FailureFilter());
    await runtime.start();
    const { host, port } = splitAddress(settings.listen.callers);
    await app.listen(port, host);
    return new Daemon(runtime, app);
  }

  /** Waits in the request queue; a request whose caller disconnects is not processed further. */
  static async #waitForTurn(
    { callers, requestQueue, recorder }: Runtime,
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const outcome = await requestQueue.waitForTurn(
      callers.of(req.raw.socket),
      Number.POSITIVE_INFINITY,
    );
    if (outcome === 'begin') return;
    recorder.record('requestLeft', { detail: req.url });
    reply.hijack();
  }

  static async #parseBody(payload: Readable, limitBytes: number): Promise<Buffer> {
    const body = await readBody({ source: payload, lengthBytes: undefined, limitBytes });
    if (body.isTooLarge) {
      const bounds = { bytes: limitBytes * MAX_DRAIN_RATIO, ms: MAX_DRAIN_MS };
      void drainBody(payload, bounds).then((end) => end !== 'ended' && payload.destroy());
      throw new FailureError(failure('body-too-large', 'body'));
    }
    return Buffer.concat(body.buffers);
  }

  /**
   * Stops gracefully: refuses new requests, waits for active ones, then closes the peer links. Connections without an
   * active request are closed at the end, also those on which a request has arrived only in part.
   * @param cause - why the daemon stops, for the log
   */
  async stop(cause = 'requested'): Promise<void> {
    const { active } = this.runtime;
    this.runtime.beginStop(cause);
    const unreadUntil = performance.now() + UNREAD_DRAIN_MS;
    await delay(MIN_DRAIN_MS);
    while (active.count > (performance.now() < unreadUntil ? 0 : active.unreadCount)) {
      // eslint-disable-next-line no-await-in-loop
      await delay(DRAIN_POLL_MS);
    }
    await this.runtime.finishStop();
    const server = this.app.getHttpServer();
    await closeListener(server, this.clock, this.clock.now() + CLOSE_TIMEOUT_MS);
    // A request that has arrived but was not read would be reset with its idle connection.
    await freshPoll(this.clock, this.clock.now() + CLOSE_TIMEOUT_MS);
    server.closeIdleConnections();
    // Closing waits until all connections have ended, even those on which nothing was sent.
    const timer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
    await this.app.close();
    clearTimeout(timer);
  }
}
