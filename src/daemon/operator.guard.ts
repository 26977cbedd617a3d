/** Restricts the operator interfaces to requests with the operator key. */
import { timingSafeEqual } from 'node:crypto';

import { Inject, Injectable } from '@nestjs/common';

import type { CanActivate, ExecutionContext } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';
import { failure, FailureError, sha256 } from '../kernel/index.js';
import { Runtime } from './runtime.js';

/** Compares the operator key of a request with the one in the settings. */
@Injectable()
export class OperatorGuard implements CanActivate {
  /**
   * Creates the guard.
   * @param runtime - provides the settings
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Checks a request.
   * @param context - execution context of the request
   * @returns true if the key is correct
   * @throws FailureError if the key is missing or wrong
   */
  canActivate(context: ExecutionContext): boolean {
    const req = context.switchToHttp().getRequest<FastifyRequest>();
    const expected = sha256(`Bearer ${this.runtime.serving.settings.operatorKey}`);
    const given = sha256(req.headers.authorization ?? '');
    if (timingSafeEqual(Buffer.from(given), Buffer.from(expected))) return true;
    throw new FailureError(failure('operator-key', 'authorization'));
  }
}
