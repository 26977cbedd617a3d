/** The command "held" and its subcommand "settle". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { printOperationId, formatTable, printAnswer } from './output.js';

import type { HeldUnits } from '../budget/index.js';
import type { SettleHeldResult } from '../daemon/heldunits.js';
import type { GlobalArgs, Row } from './output.js';

interface SettleArgs extends GlobalArgs {
  readonly holder: string;
  readonly budget: string;
  readonly operation: string;
}

function toRow({ backup, recoverer, ...held }: HeldUnits): Row {
  return { ...held, backup: backup ?? '-', recoverer: recoverer ?? '-' };
}

const settleCommand: CommandModule<GlobalArgs, SettleArgs> = {
  command: 'settle <holder> <budget>',
  describe: 'return the held units of a stopped holder to its budget',
  builder: (args) =>
    args
      .positional('holder', { type: 'string', demandOption: true })
      .positional('budget', { type: 'string', demandOption: true })
      .option('operation', { type: 'string', demandOption: true, describe: 'operation id' }),
  handler: async (argv) => {
    const { holder, budget, operation } = argv;
    printOperationId(operation);
    const client = new OperatorClient(argv);
    const answer = await client.post<SettleHeldResult>('held', { holder, budget, operation });
    printAnswer(argv, answer, ({ units }) => `${units} units were returned`, operation);
  },
};

/** Lists held units; the subcommand "settle" returns them to their budget. */
export const heldCommand: CommandModule<GlobalArgs, GlobalArgs> = {
  command: 'held',
  describe: 'list the units that are still held for stopped holders, with the cause',
  builder: (args) => args.command(settleCommand),
  handler: async (argv) => {
    const answer = await new OperatorClient(argv).get<readonly HeldUnits[]>('held');
    printAnswer(argv, answer, (rows) => formatTable(rows.map(toRow)));
  },
};
