/** The command "check". */
import type { Argv, CommandModule } from 'yargs';
import { formatProblem } from '../kernel/index.js';
import { EXIT_CODES } from './exitcodes.js';
import { printResult, printNote } from './output.js';
import { collectServiceFiles } from './servicefiles.js';

import type { Documents } from '../config/index.js';
import type { GlobalArgs } from './output.js';

/** Arguments of commands that read service files. */
export interface DirArgs extends GlobalArgs {
  readonly dirs: string[];
}

/**
 * Declares the positional argument for the directories of service files.
 * @param args - yargs instance
 * @returns the yargs instance
 */
export function withDirsArgument(args: Argv<GlobalArgs>): Argv<DirArgs> {
  return args.positional('dirs', {
    type: 'string',
    array: true,
    demandOption: true,
    describe: 'directories with files that end in .comfreyreel.yaml',
  });
}

/**
 * Reads the service files. If there are problems, prints all of them and sets the exit code.
 * @param argv - arguments of the command
 * @returns the documents; undefined if there was a problem
 */
export async function readDocumentsOrReport(argv: DirArgs): Promise<Documents | undefined> {
  const found = await collectServiceFiles(argv.dirs);
  if (found.ok) return found.val;
  process.exitCode = EXIT_CODES.input;
  if (argv.json) printResult(argv, { problems: found.val }, String);
  else found.val.forEach((problem) => printNote(formatProblem(problem)));
  return undefined;
}

function render(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([kind, count]) => `${count} ${kind}`);
  return `correct: ${parts.join(', ')}`;
}

/** Checks service files without a daemon. */
export const checkCommand: CommandModule<GlobalArgs, DirArgs> = {
  command: 'check <dirs..>',
  describe: 'check the service files below the given directories; needs no daemon',
  builder: withDirsArgument,
  handler: async (argv) => {
    const documents = await readDocumentsOrReport(argv);
    if (!documents) return;
    const counts = Object.entries(documents).map(([kind, list]) => [kind, list.length] as const);
    printResult(argv, Object.fromEntries(counts), render);
  },
};
