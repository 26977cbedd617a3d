/** The command "publish". */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';

import type { Argv, CommandModule } from 'yargs';
import { compareDocuments, splitIntoPieces } from '../config/index.js';
import { Err } from '../kernel/index.js';
import { readDocumentsOrReport, withDirsArgument } from './check.js';
import { OperatorClient } from './client.js';
import { renderComparison } from './diff.js';
import { printOperationId, printResult, printFailure, printNote } from './output.js';
import { awaitRollout } from './rollout.js';

import type { Documents, PublicationOrder, PublicationView } from '../config/index.js';
import type { RevisionView } from '../daemon/operators.controller.js';
import type { DirArgs } from './check.js';
import type { ClientAnswer } from './client.js';
import type { GlobalArgs } from './output.js';

/** Largest upload of pieces in one request, in bytes of JSON. */
const MAX_BATCH_BYTES = 1_000_000;

/** Default timeout of "--wait", in seconds. */
const DEFAULT_WAIT_SECONDS = 30;

interface PublishArgs extends DirArgs {
  readonly base: number | undefined;
  readonly operation: string;
  readonly remove: boolean;
  readonly wait: boolean;
  readonly waitSeconds: number;
  readonly budgetShards: number | undefined;
}

function render({ result, revision, at }: PublicationView): string {
  const done = result === 'repeated' ? `already done at ${new Date(at).toISOString()}` : result;
  return `${done}: revision ${revision}`;
}

function splitIntoBatches(parts: readonly Documents[]): readonly (readonly Documents[])[] {
  const batches: Documents[][] = [];
  let remainingBytes = 0;
  parts.forEach((part) => {
    const bytes = JSON.stringify(part).length;
    if (bytes > remainingBytes) {
      batches.push([]);
      remainingBytes = MAX_BATCH_BYTES;
    }
    batches.at(-1)?.push(part);
    remainingBytes -= bytes;
  });
  return batches;
}

/** Uploads the pieces that are not in force yet, then sends the publication with all digests. */
async function sendPublication(
  client: OperatorClient,
  order: Omit<PublicationOrder, 'digests' | 'documents'>,
  before: Documents,
  after: Documents,
): Promise<ClientAnswer<PublicationView>> {
  const digestsInForce = new Set(splitIntoPieces(before).map(({ digest }) => digest));
  const pieces = splitIntoPieces(after);
  const newPieces = pieces.filter(({ digest }) => !digestsInForce.has(digest));
  for (const parts of splitIntoBatches(newPieces.map(({ documents }) => documents))) {
    // Batches are uploaded one at a time: the daemon writes the pieces of each to the store.
    // eslint-disable-next-line no-await-in-loop
    const staged = await client.post('pieces', { parts });
    if (staged.err) return Err(staged.val);
  }
  return client.post('publish', { ...order, digests: pieces.map(({ digest }) => digest) });
}

async function runPublish(argv: PublishArgs): Promise<void> {
  const documents = await readDocumentsOrReport(argv);
  if (!documents) return;
  const client = new OperatorClient(argv);
  const inForce = await client.get<RevisionView>('revision');
  if (inForce.err) {
    printFailure(argv, inForce.val);
    return;
  }
  const { revision, documents: before } = inForce.val;
  printNote(renderComparison({ revision, differences: compareDocuments(before, documents) }));
  const { operation, budgetShards } = argv;
  printOperationId(operation);
  const author = userInfo().username;
  const order = {
    operation,
    author,
    base: argv.base ?? revision,
    budgetShards,
    keep: !argv.remove,
  };
  const answer = await sendPublication(client, order, before, documents);
  if (answer.err) printFailure(argv, answer.val, operation);
  else if (argv.wait) await awaitRollout(argv, client, answer.val, render);
  else printResult(argv, answer.val, render);
}

/** Publishes service files. */
export const publishCommand: CommandModule<GlobalArgs, PublishArgs> = {
  command: 'publish <dirs..>',
  describe: 'publish the service files below the given directories as a new revision',
  // yargs passes hyphenated options to the handler in camel case, but its types do not reflect it.
  builder: (args) =>
    withDirsArgument(args)
      .option('base', { type: 'number', describe: 'revision that the change was compared with' })
      .option('operation', {
        type: 'string',
        default: randomUUID(),
        defaultDescription: 'a random id',
        describe: 'operation id; running again with the same id is safe',
      })
      .option('remove', {
        type: 'boolean',
        default: false,
        describe: 'allow removing documents that no service file declares',
      })
      .option('wait', {
        type: 'boolean',
        default: false,
        describe: 'return once every live daemon has the revision in force',
      })
      .option('wait-seconds', {
        type: 'number',
        default: DEFAULT_WAIT_SECONDS,
        describe: 'timeout of --wait, in seconds',
      })
      .option('budget-shards', {
        type: 'number',
        describe: 'number of budget shards; used by the first publication only',
      }) as unknown as Argv<PublishArgs>,
  handler: runPublish,
};
