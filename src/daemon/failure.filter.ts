/** Formats every error that leaves a controller as a typed body. */
import { Catch, HttpException } from '@nestjs/common';

import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { failure, FAILURE_KINDS, FailureError, formatFailure } from '../kernel/index.js';
import type { Failure } from '../kernel/index.js';

const FIRST_CLIENT_ERROR = 400;
const NOT_FOUND = 404;
const TOO_LARGE = 413;
const FIRST_SERVER_ERROR = 500;

function statusOf(err: unknown): number {
  if (err instanceof HttpException) return err.getStatus();
  if (err instanceof SyntaxError) return FIRST_CLIENT_ERROR;
  return (err as { statusCode?: number }).statusCode ?? FIRST_SERVER_ERROR;
}

/** Only errors that come before a request is served may say that it did not run. */
function toFailure(err: unknown): Failure {
  if (err instanceof FailureError) return err.fail;
  const status = statusOf(err);
  const text = err instanceof Error ? err.message : String(err);
  if (status === NOT_FOUND) return failure('not-found', text);
  if (status === TOO_LARGE) return failure('body-too-large', 'body');
  if (status < FIRST_SERVER_ERROR) return failure('malformed-request', text);
  return failure('internal', text, 'unknown');
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
