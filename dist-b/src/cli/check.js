import { formatProblem } from '../kernel/index.js';
import { EXIT } from './exits.js';
import { print, say } from './output.js';
import { collectServiceFiles } from './servicefiles.js';
/**
 * Declares the directories of a command.
 * @param args - yargs instance
 * @returns the yargs instance
 */
export function withDirs(args) {
    return args.positional('dirs', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'directories with files that end in .comfreyreel.yaml',
    });
}
/**
 * Reads the service files, or prints every problem and sets the exit code.
 * @param argv - arguments of the command
 * @returns the documents; undefined if there was a problem
 */
export async function readOrExplain(argv) {
    const found = await collectServiceFiles(argv.dirs);
    if (found.ok)
        return found.val;
    process.exitCode = EXIT.input;
    if (argv.json)
        print(argv, { problems: found.val }, String);
    else
        found.val.forEach((problem) => say(formatProblem(problem)));
    return undefined;
}
function render(counts) {
    const parts = Object.entries(counts).map(([kind, count]) => `${count} ${kind}`);
    return `correct: ${parts.join(', ')}`;
}
/** Checks service files without a daemon. */
export const checkCommand = {
    command: 'check <dirs..>',
    describe: 'check the service files below some directories; needs no daemon',
    builder: withDirs,
    handler: async (argv) => {
        const documents = await readOrExplain(argv);
        if (!documents)
            return;
        const counts = Object.entries(documents).map(([kind, list]) => [kind, list.length]);
        print(argv, Object.fromEntries(counts), render);
    },
};
//# sourceMappingURL=check.js.map