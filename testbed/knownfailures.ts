/** Reads KNOWN-RED.txt, the list of known failures that are not fixed yet. */
import { readFile } from 'node:fs/promises';

/** Kind of an entry, the word before its colon. */
export type KnownFailureKind = 'proof' | 'bench' | 'soak';

/**
 * Lists the known failures of one kind.
 * @param kind - kind of the entries
 * @returns names of the failing checks; empty if the file is missing
 */
export async function knownFailures(kind: KnownFailureKind): Promise<readonly string[]> {
  const text = await readFile('KNOWN-RED.txt', 'utf8').catch(() => '');
  const prefix = `${kind}: `;
  return text
    .split('\n')
    .filter((line) => line.startsWith(prefix))
    .map((line) => line.slice(prefix.length).trim());
}
