/** Formats every error that a controller throws as a typed failure body. */
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

/**
 * Maps an error to a failure. Only errors raised before a request is served may state that it did
 * not run.
 */
function toFailure(err: unknown): Failure {
  if (err instanceof FailureError) return err.fail;
  const status = statusOf(err);
  const text = err instanceof Error ? err.message : String(err);
  if (status === NOT_FOUND) return failure('not-found', text);
  if (status === TOO_LARGE) return failure('body-too-large', 'body');
  if (status < FIRST_SERVER_ERROR) return failure('malformed-request', text);
  return failure('internal', text, 'unknown');
}

/** Answers with a failure body when a controller throws. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  /**
   * Answers a request whose handling threw an error.
   * @param err - the thrown value
   * @param host - execution context of the request
   */
  catch(err: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const fail = toFailure(err);
    void reply.status(FAILURE_KINDS[fail.code].status).send(formatFailure(fail));
  }
}
