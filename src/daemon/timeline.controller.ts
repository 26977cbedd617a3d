/** HTTP interface for operators: the event timeline. */
import { Controller, Get, Inject, Query, UseGuards } from '@nestjs/common';

import { failure, FailureError } from '../kernel/index.js';
import { timelineQuerySchema } from '../telemetry/index.js';
import { OperatorGuard } from './operator.guard.js';
import { Runtime } from './runtime.js';

import type { TimelineView } from '../telemetry/index.js';

/** Serves timeline queries, with which operators trace the causes of an event. */
@Controller('operator/timeline')
@UseGuards(OperatorGuard)
export class TimelineController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Collects the matching events of all daemons.
   * @param query - filter with optional fields request, budget, plan, instance and since
   * @returns the events in causal order, and the instances that did not answer
   */
  @Get()
  read(@Query() query: unknown): Promise<TimelineView> {
    const parsed = timelineQuerySchema.safeParse(query);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      throw new FailureError(failure('invalid', issue?.message ?? 'query'));
    }
    return this.runtime.timeline.gather(parsed.data);
  }
}
