/** The command "status". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { formatTable, printAnswer } from './output.js';

import type { StatusView } from '../daemon/operators.controller.js';
import type { GlobalArgs } from './output.js';

/** Shows the state of one daemon. */
export const statusCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'status',
  describe: 'show the state of a daemon',
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<StatusView>('status');
    printAnswer(argv, answer, (status) => formatTable([{ ...status }]));
  },
};
