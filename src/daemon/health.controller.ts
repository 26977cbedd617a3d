/** HTTP interface for the health checks of the load balancer. */
import { Controller, Get, HttpCode, Inject, Res } from '@nestjs/common';

import type { FastifyReply } from 'fastify';
import { Runtime } from './runtime.js';

/** Answer of a health check. */
interface Health {
  readonly status: 'ok' | 'unready';
}

/** Answers health checks. */
@Controller()
export class HealthController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Liveness check: the process answers.
   * @returns always "ok"
   */
  @Get('healthz')
  @HttpCode(200)
  healthz(): Health {
    return { status: 'ok' };
  }

  /**
   * Readiness check: whether the daemon accepts new requests.
   * @param reply - HTTP reply; status 503 while the daemon is not ready
   */
  @Get('readyz')
  async readyz(@Res() reply: FastifyReply): Promise<void> {
    const { ready } = this.runtime;
    await reply.status(ready ? 200 : 503).send({ status: ready ? 'ok' : 'unready' });
  }
}
