var __decorate = (this && this.__decorate) || function (decorators, target, key, desc) {
    var c = arguments.length, r = c < 3 ? target : desc === null ? desc = Object.getOwnPropertyDescriptor(target, key) : desc, d;
    if (typeof Reflect === "object" && typeof Reflect.decorate === "function") r = Reflect.decorate(decorators, target, key, desc);
    else for (var i = decorators.length - 1; i >= 0; i--) if (d = decorators[i]) r = (c < 3 ? d(r) : c > 3 ? d(target, key, r) : d(target, key)) || r;
    return c > 3 && r && Object.defineProperty(target, key, r), r;
};
var __metadata = (this && this.__metadata) || function (k, v) {
    if (typeof Reflect === "object" && typeof Reflect.metadata === "function") return Reflect.metadata(k, v);
};
var __param = (this && this.__param) || function (paramIndex, decorator) {
    return function (target, key) { decorator(target, key, paramIndex); }
};
/** Lets only operators in. */
import { timingSafeEqual } from 'node:crypto';
import { Inject, Injectable } from '@nestjs/common';
import { failure, FailureError, sha256 } from '../kernel/index.js';
import { Runtime } from './runtime.js';
/** Compares the operator key of the settings with the one that was sent. */
let OperatorGuard = class OperatorGuard {
    runtime;
    /**
     * Creates the guard.
     * @param runtime - holds the settings
     */
    constructor(runtime) {
        this.runtime = runtime;
    }
    /**
     * Checks a request.
     * @param context - the request
     * @returns true for the right key
     * @throws FailureError otherwise
     */
    canActivate(context) {
        const req = context.switchToHttp().getRequest();
        const expected = sha256(`Bearer ${this.runtime.serving.settings.operatorKey}`);
        const given = sha256(req.headers.authorization ?? '');
        if (timingSafeEqual(Buffer.from(given), Buffer.from(expected)))
            return true;
        throw new FailureError(failure('operator-key', 'authorization'));
    }
};
OperatorGuard = __decorate([
    Injectable(),
    __param(0, Inject(Runtime)),
    __metadata("design:paramtypes", [Runtime])
], OperatorGuard);
export { OperatorGuard };
//# sourceMappingURL=operator.guard.js.map