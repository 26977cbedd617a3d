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
/** The operators' interface; the command-line tool is its client. */
import { Body, Controller, Get, Inject, Param, Post, UseGuards } from '@nestjs/common';
import { z } from 'zod';
import { documentsSchema, EMPTY_DOCUMENTS, viewWorkspaces } from '../config/index.js';
import { OperatorGuard } from './operator.guard.js';
import { parseBody, unwrap } from './operatorbody.js';
import { Runtime } from './runtime.js';
const publicationSchema = z.strictObject({
    operation: z.string().min(1),
    author: z.string().min(1),
    base: z.number().int().nonnegative(),
    documents: documentsSchema,
});
const paymentSchema = z.strictObject({
    budget: z.string(),
    operation: z.string().min(1),
    units: z.number().int().positive(),
});
/** Serves operators. */
let OperatorsController = class OperatorsController {
    runtime;
    /**
     * Creates the controller.
     * @param runtime - tasks of the daemon
     */
    constructor(runtime) {
        this.runtime = runtime;
    }
    /**
     * Shows the state of this daemon.
     * @returns its state
     */
    status() {
        const { serving, network, ready } = this.runtime;
        return {
            incarnation: serving.self,
            ready,
            revision: serving.config.current?.revision ?? 0,
            openRequests: serving.open.total,
            peers: network.peers().length,
        };
    }
    /**
     * Shows the configuration in force.
     * @returns its revision and documents
     */
    revision() {
        const { current } = this.runtime.serving.config;
        return { revision: current?.revision ?? 0, documents: current?.documents ?? EMPTY_DOCUMENTS };
    }
    /**
     * Lists the workspaces in force.
     * @returns a line for each workspace
     */
    workspaces() {
        return viewWorkspaces(this.revision().documents);
    }
    /**
     * Puts documents in force.
     * @param body - the publication
     * @returns the manifest in force and the result
     */
    async publish(body) {
        return unwrap(await this.runtime.operations.publish(parseBody(publicationSchema, body)));
    }
    /**
     * Adds a payment to a budget.
     * @param body - the payment
     * @returns units paid in all
     */
    async topUp(body) {
        return unwrap(await this.runtime.operations.topUp(parseBody(paymentSchema, body)));
    }
    /**
     * Lists the budgets.
     * @returns every budget with its counters
     */
    async budgets() {
        return unwrap(await this.runtime.operations.budgets());
    }
    /**
     * Gives the statement of a workspace.
     * @param workspace - workspace name
     * @returns its settled charge lines
     */
    async statement(workspace) {
        return unwrap(await this.runtime.operations.statement(workspace));
    }
    /**
     * Gives the events that this daemon keeps.
     * @returns the events, oldest first
     */
    timeline() {
        return this.runtime.recorder.timeline.list();
    }
};
__decorate([
    Get('status'),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Object)
], OperatorsController.prototype, "status", null);
__decorate([
    Get('revision'),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Object)
], OperatorsController.prototype, "revision", null);
__decorate([
    Get('workspaces'),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Array)
], OperatorsController.prototype, "workspaces", null);
__decorate([
    Post('publish'),
    __param(0, Body()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [Object]),
    __metadata("design:returntype", Promise)
], OperatorsController.prototype, "publish", null);
__decorate([
    Post('topups'),
    __param(0, Body()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [Object]),
    __metadata("design:returntype", Promise)
], OperatorsController.prototype, "topUp", null);
__decorate([
    Get('budgets'),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Promise)
], OperatorsController.prototype, "budgets", null);
__decorate([
    Get('workspaces/:workspace/statement'),
    __param(0, Param('workspace')),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [String]),
    __metadata("design:returntype", Promise)
], OperatorsController.prototype, "statement", null);
__decorate([
    Get('timeline'),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", []),
    __metadata("design:returntype", Array)
], OperatorsController.prototype, "timeline", null);
OperatorsController = __decorate([
    Controller('operator'),
    UseGuards(OperatorGuard),
    __param(0, Inject(Runtime)),
    __metadata("design:paramtypes", [Runtime])
], OperatorsController);
export { OperatorsController };
//# sourceMappingURL=operators.controller.js.map