var __decorate = (this && this.__decorate) || function (decorators, target, key, desc) {
    var c = arguments.length, r = c < 3 ? target : desc === null ? desc = Object.getOwnPropertyDescriptor(target, key) : desc, d;
    if (typeof Reflect === "object" && typeof Reflect.decorate === "function") r = Reflect.decorate(decorators, target, key, desc);
    else for (var i = decorators.length - 1; i >= 0; i--) if (d = decorators[i]) r = (c < 3 ? d(r) : c > 3 ? d(target, key, r) : d(target, key)) || r;
    return c > 3 && r && Object.defineProperty(target, key, r), r;
};
/** Formats every error that leaves a controller as a typed body. */
import { Catch, HttpException } from '@nestjs/common';
import { failure, FAILURE_KINDS, FailureError, formatFailure } from '../kernel/index.js';
const NOT_FOUND = 404;
const TOO_LARGE = 413;
function toFailure(err) {
    if (err instanceof FailureError)
        return err.fail;
    if (err instanceof HttpException && err.getStatus() === NOT_FOUND) {
        return failure('not-found', err.message);
    }
    const { statusCode, message } = err;
    if (statusCode === TOO_LARGE)
        return failure('body-too-large', 'body');
    return failure('malformed-request', message ?? String(err));
}
/** Turns errors into failure bodies. */
let FailureFilter = class FailureFilter {
    /**
     * Answers a request that threw.
     * @param err - what was thrown
     * @param host - the request
     */
    catch(err, host) {
        const reply = host.switchToHttp().getResponse();
        const fail = toFailure(err);
        void reply.status(FAILURE_KINDS[fail.code].status).send(formatFailure(fail));
    }
};
FailureFilter = __decorate([
    Catch()
], FailureFilter);
export { FailureFilter };
//# sourceMappingURL=failure.filter.js.map