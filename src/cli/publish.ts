/** The command "publish". */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';

import type { CommandModule } from 'yargs';
import { compareDocuments } from '../config/index.js';
import { readOrExplain, withDirs } from './check.js';
import { OperatorClient } from './client.js';
import { renderComparison } from './diff.js';
import { announce, printFailure, report, say } from './output.js';

import type { PublishAnswer } from '../config/index.js';
import type { RevisionView } from '../daemon/operators.controller.js';
import type { DirArgs } from './check.js';
import type { GlobalArgs } from './output.js';

interface PublishArgs extends DirArgs {
  readonly base: number | undefined;
  readonly operation: string;
}

function render({ manifest, result }: PublishAnswer): string {
  const done =
    result === 'repeated' ? `already done at ${new Date(manifest.at).toISOString()}` : result;
  return `${done}: revision ${manifest.revision}`;
}

/** Puts service files in force. */
export const publishCommand: CommandModule<GlobalArgs, PublishArgs> = {
  command: 'publish <dirs..>',
  describe: 'put the service files below some directories in force, as a whole',
  builder: (args) =>
    withDirs(args)
      .option('base', { type: 'number', describe: 'revision that the change was compared with' })
      .option('operation', {
        type: 'string',
        default: randomUUID(),
        defaultDescription: 'a random id',
        describe: 'operation id; running again with the same id is safe',
      }),
  handler: async (argv) => {
    const documents = await readOrExplain(argv);
    if (!documents) return;
    const client = new OperatorClient(argv);
    const inForce = await client.get<RevisionView>('revision');
    if (inForce.err) {
      printFailure(argv, inForce.val);
      return;
    }
    const { revision, documents: before } = inForce.val;
    say(renderComparison({ revision, differences: compareDocuments(before, documents) }));
    const { operation } = argv;
    announce(operation);
    const author = userInfo().username;
    const base = argv.base ?? revision;
    const order = { operation, author, base, documents };
    report(argv, await client.post<PublishAnswer>('publish', order), render, operation);
  },
};
