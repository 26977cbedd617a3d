/** The command "topup". */
import type { CommandModule } from 'yargs';
import { OperatorClient } from './client.js';
import { printOperationId, printAnswer } from './output.js';

import type { PaymentAnswer } from '../daemon/budgetoperations.js';
import type { GlobalArgs } from './output.js';

interface TopUpArgs extends GlobalArgs {
  readonly budget: string;
  readonly units: number;
  readonly operation: string;
}

function render({ paid, repeated, at }: PaymentAnswer): string {
  const done = repeated ? `already done at ${new Date(at).toISOString()}` : 'done';
  return `${done}: ${paid} units are paid in all`;
}

/** Adds a payment to a budget; a repeated operation id adds nothing. */
export const topUpCommand: CommandModule<GlobalArgs, TopUpArgs> = {
  command: 'topup <budget> <units>',
  describe: 'add a payment to a budget, once for each operation id',
  builder: (args) =>
    args
      .positional('budget', { type: 'string', demandOption: true })
      .positional('units', { type: 'number', demandOption: true })
      .option('operation', {
        type: 'string',
        demandOption: true,
        describe: 'id of the payment, such as an invoice number; a repeat adds nothing',
      }),
  handler: async (argv) => {
    const { budget, units, operation } = argv;
    printOperationId(operation);
    const client = new OperatorClient(argv);
    const answer = await client.post<PaymentAnswer>('topups', { budget, units, operation });
    printAnswer(argv, answer, render, operation);
  },
};
