/** One gateway daemon: its tasks, the listener for callers, and the listeners for readiness and metrics. */
import 'reflect-metadata';

import { setTimeout as delay } from 'node:timers/promises';

import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import Fastify from 'fastify';

import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance } from 'fastify';
import { limitConnections, watchListener } from '../daemon/listenerwatch.js';
import { refuseMalformedRequests } from '../daemon/malformedrequests.js';
import { splitAddress } from '../daemon/settings.js';
import { afterPoll, closeListener, freshPoll, holdContinue, isFresh } from '../ingress/index.js';
import { GatewayModule } from './gateway.module.js';
import { GatewayRuntime } from './runtime.js';
import {
  cutTime,
  drainUntil,
  exitTime,
  isDrained,
  isPastAcceptAll,
  mayCloseListener,
  mayEndRequests,
} from './stopping.js';

import type { PlatformAdapter } from './adapter.js';
import type { GatewaySettings } from './settings.js';
import type { LastArrivals, StopWindow } from './stopping.js';

/**
 * Path that the framework's router sees for every request, so that it does not decode the path as sent.
 */
const ANY_PATH = '/';

/**
 * Time for which an idle connection of a caller is kept open, in milliseconds: longer than callers keep
 * one for reuse.
 */
const KEEP_ALIVE_MS = 60_000;

/** Largest headers that the server reads, in bytes, whatever the configuration says. */
const MAX_HEADER_BYTES = 65_536;

/** Headers that are read, as a multiple of the limit on callers' requests. */
const HEADER_RATIO = 2;

/**
 * Largest number of connections that wait to be accepted; the operating system may set a lower one. It resets some of
 * those beyond, with the requests that were sent on them.
 */
const MAX_WAITING_CONNECTIONS = 4_096;

/** Interval at which a graceful stop checks whether the listener for callers may be closed, in milliseconds. */
const DRAIN_POLL_MS = 25;

/**
 * Time for which a connection is idle before a stop closes it, in milliseconds: several times a round trip, as a caller
 * that has read an answer may have sent its next request.
 */
const IDLE_BEFORE_CLOSE_MS = 200;

/** Interval at which a daemon that is about to exit checks whether anything still arrives, in milliseconds. */
const END_POLL_MS = 5;

/** Outcome of a wait until nothing that callers have sent waits to be read or answered. */
interface Drain {
  /** Number of idle connections that were closed meanwhile. */
  readonly idle: number;
  /** Whether the wait ended because nothing arrived any more. */
  readonly isDrained: boolean;
}

/** Starts and stops a gateway daemon. */
export class GatewayDaemon {
  private constructor(
    readonly runtime: GatewayRuntime,
    private readonly createIngress: NestFastifyApplication,
    private readonly internalListeners: readonly FastifyInstance[],
  ) {}

  /**
   * Starts a daemon.
   * @param settings - validated settings
   * @param adapter - platform-specific parts
   * @returns the daemon, once it listens; it is ready once the store has answered
   */
  static async start(settings: GatewaySettings, adapter: PlatformAdapter): Promise<GatewayDaemon> {
    const runtime = new GatewayRuntime(settings, adapter);
    const internalListeners = await GatewayDaemon.#startInternalListeners(runtime);
    const ingress = await GatewayDaemon.#ingress(runtime);
    const server = ingress.getHttpServer();
    server.on('connection', (socket) => runtime.accepted(socket));
    server.on('timeout', (socket) => {
      void runtime.callers.closeExpired(socket);
    });
    // Callers may close their sending side after their last request (RFC 9112, section 9.6).
    Object.assign(server, { httpAllowHalfOpen: true });
    server.prependListener('request', ({ socket }, res) => {
      runtime.callers.of(socket).expects(res);
      runtime.readAhead.arrived(socket);
    });
    // Before the listener of the server, which reads the limit for each connection.
    server.prependListener('connection', () => {
      const { headerBytes } = runtime.callerLimits ?? { headerBytes: MAX_HEADER_BYTES };
      const maxHeaderSize = Math.min(MAX_HEADER_BYTES, headerBytes * HEADER_RATIO);
      Object.assign(server, { maxHeaderSize });
    });
    watchListener(server, 'callers', runtime.recorder);
    refuseMalformedRequests(server);
    holdContinue(server);
    await limitConnections(server, runtime.recorder, settings.openFiles);
    const { host, port } = splitAddress(settings.listen.callers);
    await ingress.listen({ port, host, backlog: MAX_WAITING_CONNECTIONS });
    void runtime.start();
    return new GatewayDaemon(runtime, ingress, internalListeners);
  }

  /**
   * Stops gracefully: serves requests while the load balancer still routes them to this daemon, then closes the
   * listener, waits for open requests, returns unspent units and stops the tasks. Resolves within the stop time.
   * @param cause - why the daemon stops, for the log
   */
  async stop(cause = 'requested'): Promise<void> {
    const { clock } = this.runtime;
    const window = this.runtime.beginStop(cause);
    let idle = await this.#serveUntil(window, (now, emptyAt) =>
      mayCloseListener(window, { ...this.runtime.load, emptyAt }, now),
    );
    const server = this.createIngress.getHttpServer();
    const closing = await closeListener(server, clock, cutTime(window));
    this.runtime.listenerClosed(idle, closing);
    idle += await this.#serveUntil(window, (now) =>
      mayEndRequests(window, this.#lastArrivals, now),
    );
    // Answers that have waited in a stalled process are relayed first.
    await freshPoll(clock, clock.now());
    this.runtime.stopOpenRequests();
    const last = await this.#drain(drainUntil(window, clock.now()));
    idle += last.idle;
    const remainingMs = exitTime(window) - clock.now();
    // Closing a listener waits until all its connections have ended, even idle ones. The time limit bounds this
    // wait.
    await Promise.race([this.#finish(), delay(Math.max(0, remainingMs))]);
    // Connections that were unused so far may have brought a request.
    const end = await this.#drain(exitTime(window));
    this.runtime.stopOver({ idle: idle + end.idle, isDrained: end.isDrained });
  }

  get #lastArrivals(): LastArrivals {
    return { ...this.runtime.load, acceptedAt: this.runtime.callers.acceptedAt };
  }

  /**
   * Serves requests, and closes the connections that are idle: callers that keep one would send their next request to
   * this daemon until it is gone.
   * @param window - start and duration of the stop
   * @param isOver - returns whether it ends, from the current time and the time at which a poll last brought no
   * connection, both in milliseconds
   * @returns number of closed connections
   */
  async #serveUntil(
    window: StopWindow,
    isOver: (now: number, emptyAt: number) => boolean,
  ): Promise<number> {
    const { callers, clock } = this.runtime;
    let idle = 0;
    let emptyAt = clock.now();
    while (!isOver(clock.now(), emptyAt)) {
      // eslint-disable-next-line no-await-in-loop
      idle += await callers.closeIdle(IDLE_BEFORE_CLOSE_MS);
      // eslint-disable-next-line no-await-in-loop
      const polledAfter = await afterPoll(clock);
      if (callers.acceptedAt < polledAfter) emptyAt = polledAfter;
      // eslint-disable-next-line no-await-in-loop
      await delay(DRAIN_POLL_MS);
      if (isPastAcceptAll(window, clock.now())) this.runtime.releaseExcess();
    }
    return idle;
  }

  async #finish(): Promise<void> {
    await this.runtime.finishStop();
    await Promise.all(this.internalListeners.map((listener) => listener.close()));
  }

  /**
   * Refuses what callers have sent before they could learn of the stop, and closes the connections that are idle.
   * @param until - time at which it gives up, in milliseconds
   * @returns number of closed connections, and whether nothing arrives any more
   */
  async #drain(until: number): Promise<Drain> {
    const { callers, clock } = this.runtime;
    let idle = 0;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop
      idle += await callers.closeIdle(0);
      // eslint-disable-next-line no-await-in-loop
      const polledAfter = await afterPoll(clock);
      const now = clock.now();
      if (isFresh(polledAfter, now) && isDrained(this.#lastArrivals, polledAfter))
        return { idle, isDrained: true };
      if (now >= until) return { idle, isDrained: false };
      // eslint-disable-next-line no-await-in-loop
      await delay(END_POLL_MS);
    }
  }

  /**
   * Creates the listener for callers, without the framework's own request timeouts, body limits and body parsers.
   */
  static async #ingress(runtime: GatewayRuntime): Promise<NestFastifyApplication> {
    const adapter = new FastifyAdapter({
      return503OnClosing: false,
      exposeHeadRoutes: false,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      http: { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: 0 },
      // The path as sent remains in "originalUrl".
      rewriteUrl: () => ANY_PATH,
    });
    const app = await NestFactory.create<NestFastifyApplication>(
      GatewayModule.around(runtime),
      adapter,
      { logger: false, bodyParser: false },
    );
    const fastify = adapter.getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_req, _payload, done) => done(null));
    return app;
  }

  /** Starts the listeners for the load balancer's readiness check and for metrics. */
  static async #startInternalListeners(
    runtime: GatewayRuntime,
  ): Promise<readonly FastifyInstance[]> {
    const { listen, readinessPath } = runtime.settings;
    const readiness = Fastify();
    readiness.get(readinessPath, (_req, reply) => {
      void reply.status(runtime.isReady ? 200 : 503).send({ ready: runtime.isReady });
    });
    watchListener(readiness.server, 'readiness', runtime.recorder);
    const metrics = Fastify();
    watchListener(metrics.server, 'metrics', runtime.recorder);
    metrics.get('/metrics', async (_req, reply) => {
      void reply.header('content-type', runtime.metrics.contentType);
      return runtime.metrics.text();
    });
    await Promise.all(
      [
        { app: readiness, address: listen.readiness },
        { app: metrics, address: listen.metrics },
      ].map(({ app, address }) => app.listen(splitAddress(address))),
    );
    return [readiness, metrics];
  }
}
