/** The command "workspaces". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { formatTable, printAnswer } from './output.js';

import type { WorkspaceView } from '../config/index.js';
import type { GlobalArgs } from './output.js';

/** Lists the workspaces in force. */
export const workspacesCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'workspaces',
  describe: 'list the workspaces that are in force',
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<readonly WorkspaceView[]>('workspaces');
    printAnswer(argv, answer, (views) => formatTable(views.map((view) => ({ ...view }))));
  },
};
