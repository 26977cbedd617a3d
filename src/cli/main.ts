/** Entry point of the command-line tool of operators. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { formatProblem } from '../kernel/index.js';
import { OperatorClient } from './client.js';
import { heldCommand } from './held.js';
import { readServiceFiles } from './servicefiles.js';

import type { ClientAnswer } from './client.js';

/** Exit code for an order that a daemon refused. */
const EXIT_REFUSED = 1;

/** Exit code for input that cannot be used. */
const EXIT_INPUT = 2;

const OK_STATUS = 300;

function print(answer: ClientAnswer): void {
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`);
  if (answer.status >= OK_STATUS) process.exitCode = EXIT_REFUSED;
}

const cli = yargs(hideBin(process.argv))
  .scriptName('comfreyreel')
  .option('url', { type: 'string', default: 'http://127.0.0.1:8080', describe: 'a daemon' })
  .option('key', {
    type: 'string',
    default: process.env.COMFREYREEL_OPERATOR_KEY ?? '',
    describe: 'operator key; also from COMFREYREEL_OPERATOR_KEY',
  })
  .command(
    'publish <dirs..>',
    'put the service files below some directories in force',
    (args) =>
      args
        .positional('dirs', { type: 'string', array: true, demandOption: true })
        .option('base', { type: 'number', describe: 'revision that was compared with' })
        .option('operation', { type: 'string', default: randomUUID(), describe: 'operation id' }),
    async (argv) => {
      const client = new OperatorClient(argv);
      const documents = await readServiceFiles(argv.dirs);
      if (documents.err) {
        documents.val.forEach((found) => process.stderr.write(`${formatProblem(found)}\n`));
        process.exitCode = EXIT_INPUT;
        return;
      }
      const status = (await client.get('status')).body as { readonly revision: number };
      const { operation } = argv;
      const author = userInfo().username;
      const base = argv.base ?? status.revision;
      print(await client.post('publish', { operation, author, base, documents: documents.val }));
    },
  )
  .command(
    'topup <budget> <units>',
    'add a payment to a budget',
    (args) =>
      args
        .positional('budget', { type: 'string', demandOption: true })
        .positional('units', { type: 'number', demandOption: true })
        .option('operation', { type: 'string', demandOption: true, describe: 'operation id' }),
    async (argv) => {
      const { budget, units, operation } = argv;
      print(await new OperatorClient(argv).post('topups', { budget, units, operation }));
    },
  )
  .command(
    'budgets',
    'list the budgets',
    (args) => args,
    async (argv) => print(await new OperatorClient(argv).get('budgets')),
  )
  .command(
    'statement <workspace>',
    'list the charges of a workspace',
    (args) => args.positional('workspace', { type: 'string', demandOption: true }),
    async (argv) =>
      print(await new OperatorClient(argv).get(`workspaces/${argv.workspace}/statement`)),
  )
  .command(
    'status',
    'show the state of a daemon',
    (args) => args,
    async (argv) => print(await new OperatorClient(argv).get('status')),
  )
  .command(heldCommand)
  .demandCommand(1)
  .strict()
  .help();

await cli.parseAsync();
