import { OperatorClient } from './client.js';
import { formatTable, report } from './output.js';
function toRow(view) {
    const { name, workspace, paid, spent, granted, held, left } = view;
    return { name, workspace, paid, spent, granted, held: held ?? '-', left };
}
/** Lists the budgets with their counters. */
export const budgetsCommand = {
    command: 'budgets',
    describe: 'list the budgets: units paid, spent, granted to daemons, held after a loss, left',
    handler: async (argv) => {
        const answer = await new OperatorClient(argv).get('budgets');
        report(argv, answer, (views) => formatTable(views.map(toRow)));
    },
};
//# sourceMappingURL=budgets.js.map