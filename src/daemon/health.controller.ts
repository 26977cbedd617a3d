/** Health checks of the platform's balancer. */
import { Controller, Get, HttpCode, Inject, Res } from '@nestjs/common';

import type { FastifyReply } from 'fastify';
import { Runtime } from './runtime.js';

/** Answer of a health check. */
interface Health {
  readonly status: 'ok' | 'unready';
}

/** Serves the balancer. */
@Controller()
export class HealthController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Says that the process answers.
   * @returns always "ok"
   */
  @Get('healthz')
  @HttpCode(200)
  healthz(): Health {
    return { status: 'ok' };
  }

  /**
   * Says whether the daemon takes new work.
   * @param reply - HTTP reply, 503 while unready
   */
  @Get('readyz')
  async readyz(@Res() reply: FastifyReply): Promise<void> {
    const { ready } = this.runtime;
    await reply.status(ready ? 200 : 503).send({ status: ready ? 'ok' : 'unready' });
  }
}
