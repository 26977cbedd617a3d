/** Commands on units that are held under stopped holders. */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';

import type { ClientAnswer, ClientConfig } from './client.js';

/** Exit code for an order that a daemon refused. */
const EXIT_REFUSED = 1;

const OK_STATUS = 300;

/** Arguments of the settling command. */
interface SettleArgs extends ClientConfig {
  readonly holder: string;
  readonly budget: string;
  readonly operation: string;
}

function print(answer: ClientAnswer): void {
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`);
  if (answer.status >= OK_STATUS) process.exitCode = EXIT_REFUSED;
}

const settleCommand: CommandModule<ClientConfig, SettleArgs> = {
  command: 'settle <holder> <budget>',
  describe: 'give the held units of a stopped holder back to a budget',
  builder: (args) =>
    args
      .positional('holder', { type: 'string', demandOption: true })
      .positional('budget', { type: 'string', demandOption: true })
      .option('operation', { type: 'string', demandOption: true, describe: 'operation id' }),
  handler: async (argv) => {
    const { holder, budget, operation } = argv;
    print(await new OperatorClient(argv).post('held', { holder, budget, operation }));
  },
};

/** Lists held units; "settle" gives them back. */
export const heldCommand: CommandModule<ClientConfig, ClientConfig> = {
  command: 'held',
  describe: 'list the units that are held under stopped holders',
  builder: (args) => args.command(settleCommand),
  handler: async (argv) => print(await new OperatorClient(argv).get('held')),
};
