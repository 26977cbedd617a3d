/**
 * Operator endpoints that list the units held by stopped or unresponsive daemons and return them to
 * their budgets.
 */
import { Body, Controller, Get, Inject, Post, UseGuards } from '@nestjs/common';
import * as z from 'zod';

import { failure, FailureError } from '../kernel/index.js';
import { listHeld, settleHeldUnits } from './heldunits.js';
import { OperatorGuard } from './operator.guard.js';
import { Runtime } from './runtime.js';

import type { HeldUnits } from '../budget/index.js';
import type { SettleHeldResult } from './heldunits.js';

const orderSchema = z.strictObject({
  holder: z.string().min(1),
  budget: z.string().min(1),
  operation: z.string().min(1),
});

/** Lists and settles held units for operators. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class HeldController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Lists the held units.
   * @returns the held units of each holder and budget, with the cause
   */
  @Get('held')
  async list(): Promise<readonly HeldUnits[]> {
    const held = await listHeld(this.runtime.serving.store, this.#shards);
    if (held.err) throw new FailureError(held.val);
    return held.val;
  }

  /**
   * Returns held units to their budget.
   * @param body - holder, budget and operation id
   * @returns the units returned, and whether the operation was a repeat
   */
  @Post('held')
  async settle(@Body() body: unknown): Promise<SettleHeldResult> {
    const order = orderSchema.safeParse(JSON.parse((body as Buffer).toString()));
    if (!order.success) throw new FailureError(failure('invalid', order.error.message));
    const settled = await settleHeldUnits(this.runtime.serving.store, this.#shards, order.data);
    if (settled.err) throw new FailureError(settled.val);
    return settled.val;
  }

  get #shards(): number {
    return this.runtime.serving.config.current?.manifest.budgetShards ?? 0;
  }
}
