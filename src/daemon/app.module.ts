/** NestJS module of the daemon. */
import { Module } from '@nestjs/common';

import type { DynamicModule } from '@nestjs/common';
import { CallersController } from './callers.controller.js';
import { HealthController } from './health.controller.js';
import { HeldController } from './held.controller.js';
import { OperatorGuard } from './operator.guard.js';
import { OperatorsController } from './operators.controller.js';
import { PlansController } from './plans.controller.js';
import { Runtime } from './runtime.js';
import { TimelineController } from './timeline.controller.js';

/** Connects the HTTP controllers to the runtime of one daemon. */
@Module({})
export class AppModule {
  /**
   * Creates the module for a runtime.
   * @param runtime - tasks of the daemon
   * @returns the module
   */
  static forRuntime(runtime: Runtime): DynamicModule {
    return {
      module: AppModule,
      controllers: [
        CallersController,
        HealthController,
        HeldController,
        OperatorsController,
        PlansController,
        TimelineController,
      ],
      providers: [{ provide: Runtime, useValue: runtime }, OperatorGuard],
    };
  }
}
