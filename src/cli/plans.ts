/** The command "plans". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { printOperationId, formatTable, printAnswer } from './output.js';

import type { PlanAction, PlanActionResult, PlanState } from '../plan/index.js';
import type { GlobalArgs, Row } from './output.js';

interface ActionArgs extends GlobalArgs {
  readonly name: string;
  readonly operation: string;
}

const ACTIONS: readonly { readonly action: PlanAction; readonly describe: string }[] = [
  { action: 'start', describe: 'start the plan: its upstream or workspace begins to leave' },
  { action: 'pause', describe: 'pause the plan before its next step' },
  { action: 'resume', describe: 'resume a paused plan' },
  { action: 'abandon', describe: 'abandon a plan for which no order was sent yet' },
];

function toRow(plan: PlanState): Row {
  const { document, phase, paused, waitsFor, orders, closing } = plan;
  const orderStates = orders.map(({ order, state }) => `${order}: ${state}`).join(', ');
  const closingResult = closing ? `${closing.charges} charges, refund ${closing.refund}` : '';
  return {
    plan: document.name,
    leaves: document.kind === 'upstream' ? document.upstream : document.workspace,
    phase: paused ? `${phase}, paused` : phase,
    'waits for': waitsFor,
    result: document.kind === 'upstream' ? orderStates : closingResult,
  };
}

function render({ plan, result }: PlanActionResult): string {
  const table = plan ? formatTable([toRow(plan)]) : '';
  return result === 'repeated' ? `already done by this operation\n${table}` : table;
}

function actionCommand(
  action: PlanAction,
  describe: string,
): CommandModule<GlobalArgs, ActionArgs> {
  return {
    command: `${action} <name>`,
    describe,
    builder: (args) =>
      args.positional('name', { type: 'string', demandOption: true }).option('operation', {
        type: 'string',
        demandOption: true,
        describe: 'id of the order; a repeat changes nothing',
      }),
    handler: async (argv) => {
      const { name, operation } = argv;
      printOperationId(operation);
      const path = `plans/${encodeURIComponent(name)}`;
      const answer = await new OperatorClient(argv).post<PlanActionResult>(path, {
        action,
        operation,
      });
      printAnswer(argv, answer, render, operation);
    },
  };
}

/** Lists the plans; subcommands change the state of one. */
export const plansCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'plans',
  describe: 'list the plans by which upstreams and workspaces leave, or change one',
  builder: (args) =>
    ACTIONS.reduce(
      (cli, { action, describe }) => cli.command(actionCommand(action, describe)),
      args,
    ),
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<readonly PlanState[]>('plans');
    printAnswer(argv, answer, (plans) => formatTable(plans.map(toRow)));
  },
};
