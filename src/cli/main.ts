#!/usr/bin/env node
/** Entry point of the operators' command-line tool. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { budgetsCommand } from './budgets.js';
import { checkCommand } from './check.js';
import { diffCommand } from './diff.js';
import { EXIT_CODES } from './exitcodes.js';
import { heldCommand } from './held.js';
import { printNote } from './output.js';
import { plansCommand } from './plans.js';
import { publishCommand } from './publish.js';
import { statementCommand } from './statement.js';
import { statusCommand } from './status.js';
import { timelineCommand } from './timeline.js';
import { topUpCommand } from './topup.js';
import { workspacesCommand } from './workspaces.js';

const cli = yargs(hideBin(process.argv))
  .scriptName('comfreyreel')
  .option('url', {
    type: 'string',
    default: 'http://127.0.0.1:8080',
    describe: 'base URL of a daemon',
  })
  .option('key', {
    type: 'string',
    default: process.env.COMFREYREEL_OPERATOR_KEY ?? '',
    defaultDescription: 'COMFREYREEL_OPERATOR_KEY',
    describe: 'operator key',
  })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON instead of a table' })
  .command(checkCommand)
  .command(diffCommand)
  .command(publishCommand)
  .command(statusCommand)
  .command(workspacesCommand)
  .command(budgetsCommand)
  .command(topUpCommand)
  .command(statementCommand)
  .command(plansCommand)
  .command(timelineCommand)
  .command(heldCommand)
  .completion('completion', 'print a completion script for the shell')
  .epilogue('exit codes: 0 done, 1 refused, 2 wrong input, 3 no answer or outcome unknown')
  .demandCommand(1, 'name a command; --help lists them')
  .strict()
  .fail((message, err, usage) => {
    printNote(err ? String(err) : `${message}\n\n${usage.help()}`);
    // Nothing was sent yet; without the exit, yargs would still run the handler of the command.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_CODES.input);
  })
  .help();

await cli.parseAsync();
