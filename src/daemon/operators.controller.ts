/** The operators' interface; the command-line tool is its client. */
import { Body, Controller, Get, Inject, Param, Post, UseGuards } from '@nestjs/common';
import { z } from 'zod';

import { documentsSchema, EMPTY_DOCUMENTS, viewWorkspaces } from '../config/index.js';
import { OperatorGuard } from './operator.guard.js';
import { parseBody, unwrap } from './operatorbody.js';
import { Runtime } from './runtime.js';

import type { ChargeLine } from '../budget/index.js';
import type { Documents, PublishAnswer, WorkspaceView } from '../config/index.js';
import type { BudgetView, PaymentAnswer } from './operations.js';

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

/** State of one daemon, as operators see it. */
export interface StatusView {
  readonly incarnation: string;
  readonly ready: boolean;
  readonly revision: number;
  readonly openRequests: number;
  readonly peers: number;
}

/** The configuration that a daemon has in force. */
export interface RevisionView {
  readonly revision: number;
  readonly documents: Documents;
}

/** Serves operators. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class OperatorsController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Shows the state of this daemon.
   * @returns its state
   */
  @Get('status')
  status(): StatusView {
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
  @Get('revision')
  revision(): RevisionView {
    const { current } = this.runtime.serving.config;
    return { revision: current?.revision ?? 0, documents: current?.documents ?? EMPTY_DOCUMENTS };
  }

  /**
   * Lists the workspaces in force.
   * @returns a line for each workspace
   */
  @Get('workspaces')
  workspaces(): readonly WorkspaceView[] {
    return viewWorkspaces(this.revision().documents);
  }

  /**
   * Puts documents in force.
   * @param body - the publication
   * @returns the manifest in force and the result
   */
  @Post('publish')
  async publish(@Body() body: unknown): Promise<PublishAnswer> {
    return unwrap(await this.runtime.operations.publish(parseBody(publicationSchema, body)));
  }

  /**
   * Adds a payment to a budget.
   * @param body - the payment
   * @returns units paid in all
   */
  @Post('topups')
  async topUp(@Body() body: unknown): Promise<PaymentAnswer> {
    return unwrap(await this.runtime.operations.topUp(parseBody(paymentSchema, body)));
  }

  /**
   * Lists the budgets.
   * @returns every budget with its counters
   */
  @Get('budgets')
  async budgets(): Promise<readonly BudgetView[]> {
    return unwrap(await this.runtime.operations.budgets());
  }

  /**
   * Gives the statement of a workspace.
   * @param workspace - workspace name
   * @returns its settled charge lines
   */
  @Get('workspaces/:workspace/statement')
  async statement(@Param('workspace') workspace: string): Promise<readonly ChargeLine[]> {
    return unwrap(await this.runtime.operations.statement(workspace));
  }
}
