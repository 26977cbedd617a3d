/** The command "budgets". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { formatTable, report } from './output.js';

import type { BudgetView } from '../daemon/operations.js';
import type { GlobalArgs, Row } from './output.js';

function toRow(view: BudgetView & { readonly held?: number }): Row {
  const { name, workspace, paid, spent, granted, held, left } = view;
  return { name, workspace, paid, spent, granted, held: held ?? '-', left };
}

/** Lists the budgets with their counters. */
export const budgetsCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'budgets',
  describe: 'list the budgets: units paid, spent, granted to daemons, held after a loss, left',
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<readonly BudgetView[]>('budgets');
    report(argv, answer, (views) => formatTable(views.map(toRow)));
  },
};
