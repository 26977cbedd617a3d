var __decorate = (this && this.__decorate) || function (decorators, target, key, desc) {
    var c = arguments.length, r = c < 3 ? target : desc === null ? desc = Object.getOwnPropertyDescriptor(target, key) : desc, d;
    if (typeof Reflect === "object" && typeof Reflect.decorate === "function") r = Reflect.decorate(decorators, target, key, desc);
    else for (var i = decorators.length - 1; i >= 0; i--) if (d = decorators[i]) r = (c < 3 ? d(r) : c > 3 ? d(target, key, r) : d(target, key)) || r;
    return c > 3 && r && Object.defineProperty(target, key, r), r;
};
var AppModule_1;
/** Nest module of the daemon. */
import { Module } from '@nestjs/common';
import { CallersController } from './callers.controller.js';
import { HealthController } from './health.controller.js';
import { OperatorGuard } from './operator.guard.js';
import { OperatorsController } from './operators.controller.js';
import { PlansController } from './plans.controller.js';
import { Runtime } from './runtime.js';
/** Binds the HTTP interfaces to the tasks of one daemon. */
let AppModule = AppModule_1 = class AppModule {
    /**
     * Builds the module around a runtime.
     * @param runtime - tasks of the daemon
     * @returns the module
     */
    static around(runtime) {
        return {
            module: AppModule_1,
            controllers: [CallersController, HealthController, OperatorsController, PlansController],
            providers: [{ provide: Runtime, useValue: runtime }, OperatorGuard],
        };
    }
};
AppModule = AppModule_1 = __decorate([
    Module({})
], AppModule);
export { AppModule };
//# sourceMappingURL=app.module.js.map