/** The command "statement". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { formatTable, printAnswer } from './output.js';

import type { ChargeLine } from '../budget/index.js';
import type { GlobalArgs } from './output.js';

interface StatementArgs extends GlobalArgs {
  readonly workspace: string;
}

function render(lines: readonly ChargeLine[]): string {
  const rows = lines.map(({ at, key, budget, units }) => ({
    at: new Date(at).toISOString(),
    key,
    budget,
    units,
  }));
  const total = lines.reduce((sum, { units }) => sum + units, 0);
  return `${formatTable(rows)}\ntotal: ${total} units in ${lines.length} requests`;
}

/** Lists the charges of a workspace. */
export const statementCommand: CommandModule<GlobalArgs, StatementArgs> = {
  command: 'statement <workspace>',
  describe: 'list the charges of a workspace, each request once',
  builder: (args) => args.positional('workspace', { type: 'string', demandOption: true }),
  handler: async (argv) => {
    const client = new OperatorClient(argv);
    const path = `workspaces/${encodeURIComponent(argv.workspace)}/statement`;
    printAnswer(argv, await client.get<readonly ChargeLine[]>(path), render);
  },
};
