import { OperatorClient } from './client.js';
import { formatTable, report } from './output.js';
/** Lists the workspaces in force. */
export const workspacesCommand = {
    command: 'workspaces',
    describe: 'list the workspaces that are in force',
    handler: async (argv) => {
        const answer = await new OperatorClient(argv).get('workspaces');
        report(argv, answer, (views) => formatTable(views.map((view) => ({ ...view }))));
    },
};
//# sourceMappingURL=workspaces.js.map