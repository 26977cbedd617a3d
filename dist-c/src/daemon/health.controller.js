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
/** Health checks of the platform's balancer. */
import { Controller, Get, HttpCode, Inject, Res } from '@nestjs/common';
import { Runtime } from './runtime.js';
/** Serves the balancer. */
let HealthController = class HealthController {
    runtime;
    /**
     * Creates the controller.
     * @param runtime - tasks of the daemon
     */
    constructor(runtime) {
        this.runtime = runtime;
    }
    /**
     * Says that the process answers.
     * @returns always "ok"
     */
    healthz() {
        return { status: 'ok' };
    }
    /**
     * Says whether the daemon takes new work.
     * @param reply - HTTP reply, 503 while unready
     */
    async readyz(reply) {
        const { ready } = this.runtime;
        await reply.status(ready ? 200 : 503).send({ status: ready ? 'ok' : 'unready' });
    }
};
__decorate([
    Get('healthz'),
    HttpCode(200),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Object)
], HealthController.prototype, "healthz", null);
__decorate([
    Get('readyz'),
    __param(0, Res()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [Object]),
    __metadata("design:returntype", Promise)
], HealthController.prototype, "readyz", null);
HealthController = __decorate([
    Controller(),
    __param(0, Inject(Runtime)),
    __metadata("design:paramtypes", [Runtime])
], HealthController);
export { HealthController };
//# sourceMappingURL=health.controller.js.map