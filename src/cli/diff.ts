/** The command "diff". */
import type { CommandModule } from 'yargs';
import { compareDocuments } from '../config/index.js';
import { readDocumentsOrReport, withDirsArgument } from './check.js';
import { OperatorClient } from './client.js';
import { formatTable, printResult, printFailure } from './output.js';

import type { DocumentDifference } from '../config/index.js';
import type { RevisionView } from '../daemon/operators.controller.js';
import type { DirArgs } from './check.js';
import type { GlobalArgs } from './output.js';

/** Differences between the revision in force and the service files. */
export interface Comparison {
  readonly revision: number;
  readonly differences: readonly DocumentDifference[];
}

/**
 * Formats differences as text.
 * @param comparison - differences from a revision
 * @returns a table, or a line if there is no difference
 */
export function renderComparison({ revision, differences }: Comparison): string {
  if (differences.length === 0) return `no difference from revision ${revision}`;
  const rows = differences.map(({ change, kind, name, fields }) => ({
    change,
    kind,
    name,
    fields: fields.join(', '),
  }));
  return `differences from revision ${revision}:\n${formatTable(rows)}`;
}

/** Shows the changes that a publication of the service files would make. */
export const diffCommand: CommandModule<GlobalArgs, DirArgs> = {
  command: 'diff <dirs..>',
  describe: 'compare the service files below the given directories with the revision in force',
  builder: withDirsArgument,
  handler: async (argv) => {
    const documents = await readDocumentsOrReport(argv);
    if (!documents) return;
    const answer = await new OperatorClient(argv).get<RevisionView>('revision');
    if (answer.err) {
      printFailure(argv, answer.val);
      return;
    }
    const differences = compareDocuments(answer.val.documents, documents);
    printResult(argv, { revision: answer.val.revision, differences }, renderComparison);
  },
};
