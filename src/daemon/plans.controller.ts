/** HTTP interface for operators: plans. */
import { Body, Controller, Get, Inject, Param, Post, UseGuards } from '@nestjs/common';
import * as z from 'zod';

import { OperatorGuard } from './operator.guard.js';
import { parseBody, unwrap } from './operatorbody.js';
import { Runtime } from './runtime.js';

import type { PlanActionResult, PlanState } from '../plan/index.js';

const commandSchema = z.strictObject({
  action: z.enum(['start', 'pause', 'resume', 'abandon']),
  operation: z.string().min(1),
});

/** Serves operators' requests about plans, which take upstreams and workspaces out of service. */
@Controller('operator/plans')
@UseGuards(OperatorGuard)
export class PlansController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Lists the plans.
   * @returns every plan with its phase and the condition it waits for
   */
  @Get()
  list(): Promise<readonly PlanState[]> {
    return this.runtime.plans.list();
  }

  /**
   * Starts, pauses, resumes or abandons a plan.
   * @param name - plan name
   * @param body - command and operation id
   * @returns the plan and whether the command was a repeat
   */
  @Post(':name')
  async order(@Param('name') name: string, @Body() body: unknown): Promise<PlanActionResult> {
    return unwrap(await this.runtime.plans.order({ name, ...parseBody(commandSchema, body) }));
  }
}
