/** Nest module of the gateway. */
import { Module } from '@nestjs/common';

import type { DynamicModule } from '@nestjs/common';
import { IngressController } from './ingress.controller.js';
import { GatewayRuntime } from './runtime.js';

/** Provides the runtime of one daemon to the ingress controller. */
@Module({})
export class GatewayModule {
  /**
   * Builds the module for a runtime.
   * @param runtime - tasks of the daemon
   * @returns the module
   */
  static around(runtime: GatewayRuntime): DynamicModule {
    return {
      module: GatewayModule,
      controllers: [IngressController],
      providers: [{ provide: GatewayRuntime, useValue: runtime }],
    };
  }
}
