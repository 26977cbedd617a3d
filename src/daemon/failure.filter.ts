/** Formats every error that leaves a controller as a typed body. */
import { Catch, HttpException } from '@nestjs/common';

import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { failure, FAILURE_KINDS, FailureError, formatFailure } from '../kernel/index.js';
import type { Failure } from '../kernel/index.js';

const NOT_FOUND = 404;
const TOO_LARGE = 413;

function toFailure(err: unknown): Failure {
  if (err instanceof FailureError) return err.fail;
  if (err instanceof HttpException && err.getStatus() === NOT_FOUND) {
    return failure('not-found', err.message);
  }
  const { statusCode, message } = err as { statusCode?: number; message?: string };
  if (statusCode === TOO_LARGE) return failure('body-too-large', 'body');
  return failure('malformed-request', message ?? String(err));
}

/** Turns errors into failure bodies. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  /**
   * Answers a request that threw.
   * @param err - what was thrown
   * @param host - the request
   */
  catch(err: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const fail = toFailure(err);
    void reply.status(FAILURE_KINDS[fail.code].status).send(formatFailure(fail));
  }
}
