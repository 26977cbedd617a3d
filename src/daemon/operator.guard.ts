/** Lets only operators in. */
import { timingSafeEqual } from 'node:crypto';

import { Inject, Injectable } from '@nestjs/common';

import type { CanActivate, ExecutionContext } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';
import { failure, FailureError, sha256 } from '../kernel/index.js';
import { Runtime } from './runtime.js';

/** Compares the operator key of the settings with the one that was sent. */
@Injectable()
export class OperatorGuard implements CanActivate {
  /**
   * Creates the guard.
   * @param runtime - holds the settings
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Checks a request.
   * @param context - the request
   * @returns true for the right key
   * @throws FailureError otherwise
   */
  canActivate(context: ExecutionContext): boolean {
    const req = context.switchToHttp().getRequest<FastifyRequest>();
    const expected = sha256(`Bearer ${this.runtime.serving.settings.operatorKey}`);
    const given = sha256(req.headers.authorization ?? '');
    if (timingSafeEqual(Buffer.from(given), Buffer.from(expected))) return true;
    throw new FailureError(failure('operator-key', 'authorization'));
  }
}
