/** The command "budgets". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { formatTable, printAnswer } from './output.js';

import type { BudgetView } from '../daemon/budgetview.js';
import type { GlobalArgs } from './output.js';

/** Lists the budgets with their counters. */
export const budgetsCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'budgets',
  describe: 'list the budgets: units paid, spent, granted to daemons, held after a loss, left',
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<readonly BudgetView[]>('budgets');
    printAnswer(argv, answer, (views) => formatTable(views.map((view) => ({ ...view }))));
  },
};
