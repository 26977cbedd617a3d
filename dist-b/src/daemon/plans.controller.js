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
/** The operators' interface of plans. */
import { Body, Controller, Get, Inject, Param, Post, UseGuards } from '@nestjs/common';
import { z } from 'zod';
import { OperatorGuard } from './operator.guard.js';
import { parseBody, unwrap } from './operatorbody.js';
import { Runtime } from './runtime.js';
const commandSchema = z.strictObject({
    action: z.enum(['start', 'pause', 'resume', 'abandon']),
    operation: z.string().min(1),
});
/** Serves operators who let upstreams and workspaces leave. */
let PlansController = class PlansController {
    runtime;
    /**
     * Creates the controller.
     * @param runtime - tasks of the daemon
     */
    constructor(runtime) {
        this.runtime = runtime;
    }
    /**
     * Lists the plans.
     * @returns every plan with its phase and what it waits for
     */
    list() {
        return this.runtime.plans.list();
    }
    /**
     * Starts, pauses, resumes or abandons a plan.
     * @param name - plan name
     * @param body - command and operation id
     * @returns the plan and whether the operation id was known before
     */
    async order(name, body) {
        return unwrap(await this.runtime.plans.order({ name, ...parseBody(commandSchema, body) }));
    }
};
__decorate([
    Get(),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Promise)
], PlansController.prototype, "list", null);
__decorate([
    Post(':name'),
    __param(0, Param('name')),
    __param(1, Body()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [String, Object]),
    __metadata("design:returntype", Promise)
], PlansController.prototype, "order", null);
PlansController = __decorate([
    Controller('operator/plans'),
    UseGuards(OperatorGuard),
    __param(0, Inject(Runtime)),
    __metadata("design:paramtypes", [Runtime])
], PlansController);
export { PlansController };
//# sourceMappingURL=plans.controller.js.map