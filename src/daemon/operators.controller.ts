/** HTTP interface for operators; the command-line tool is its client. */
import { Body, Controller, Get, Inject, Param, Post, UseGuards } from '@nestjs/common';
import * as z from 'zod';

import {
  documentsSchema,
  EMPTY_DOCUMENTS,
  publicationOrderSchema,
  workspaceViews,
} from '../config/index.js';
import { OperatorGuard } from './operator.guard.js';
import { parseBody, unwrap } from './operatorbody.js';
import { Runtime } from './runtime.js';

import type { ChargeLine } from '../budget/index.js';
import type { Documents, PublicationView, WorkspaceView } from '../config/index.js';
import type { RolloutView } from './configexchange.js';
import type { BudgetView } from './budgetview.js';
import type { PaymentAnswer } from './budgetoperations.js';

/** Body that stores pieces before the publication that refers to them. */
const stagingSchema = z.strictObject({ parts: z.array(documentsSchema).readonly() });

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
  /** Time since the configuration was last confirmed, in milliseconds; -1 if it never was. */
  readonly confirmedAgeMs: number;
  readonly openRequests: number;
  readonly peers: number;
}

/** The configuration that a daemon has in force. */
export interface RevisionView {
  readonly revision: number;
  readonly documents: Documents;
}

/** Serves the requests of operators about configuration and budgets. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class OperatorsController {
  /**
   * Creates the controller.
   * @param runtime - tasks of the daemon
   */
  constructor(@Inject(Runtime) private readonly runtime: Runtime) {}

  /**
   * Returns the state of this daemon.
   * @returns its state
   */
  @Get('status')
  status(): StatusView {
    const { serving, network, ready } = this.runtime;
    const { confirmedAgeMs } = serving.config;
    return {
      incarnation: serving.self,
      ready,
      revision: serving.config.current?.revision ?? 0,
      confirmedAgeMs: Number.isFinite(confirmedAgeMs) ? Math.round(confirmedAgeMs) : -1,
      openRequests: serving.open.total,
      peers: network.peers().length,
    };
  }

  /**
   * Returns the configuration in force.
   * @returns its revision and documents
   */
  @Get('revision')
  revision(): RevisionView {
    const { current } = this.runtime.serving.config;
    return { revision: current?.revision ?? 0, documents: current?.documents ?? EMPTY_DOCUMENTS };
  }

  /**
   * Lists the workspaces of the configuration in force.
   * @returns one entry per workspace
   */
  @Get('workspaces')
  workspaces(): readonly WorkspaceView[] {
    return workspaceViews(this.revision().documents);
  }

  /**
   * Activates documents as a new revision.
   * @param body - the publication
   * @returns the revision and whether this publication created it
   */
  @Post('publish')
  async publish(@Body() body: unknown): Promise<PublicationView> {
    return unwrap(await this.runtime.publisher.publish(parseBody(publicationOrderSchema, body)));
  }

  /**
   * Stores pieces before the publication that refers to them.
   * @param body - content of the pieces
   * @returns their digests
   */
  @Post('pieces')
  async stage(@Body() body: unknown): Promise<{ readonly digests: readonly string[] }> {
    const { parts } = parseBody(stagingSchema, body);
    return { digests: unwrap(await this.runtime.publisher.stage(parts)) };
  }

  /**
   * Lists the revision that each live daemon has in force.
   * @returns one entry per daemon
   */
  @Get('rollout')
  rollout(): Promise<readonly RolloutView[]> {
    return this.runtime.serving.config.rollout();
  }

  /**
   * Adds a payment to a budget.
   * @param body - the payment
   * @returns total of the units paid
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
   * Returns the statement of a workspace.
   * @param workspace - workspace name
   * @returns its settled charge lines
   */
  @Get('workspaces/:workspace/statement')
  async statement(@Param('workspace') workspace: string): Promise<readonly ChargeLine[]> {
    return unwrap(await this.runtime.operations.statement(workspace));
  }
}
