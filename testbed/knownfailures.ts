/** Reads KNOWN-RED.txt: failures that are known and not yet mended. */
import { readFile } from 'node:fs/promises';

/** What an entry names. */
export type KnownFailureKind = 'proof' | 'bench';

/**
 * Lists the known failures of one kind.
 * @param kind - what the entries name
 * @returns their names; none without the file
 */
export async function knownFailures(kind: KnownFailureKind): Promise<readonly string[]> {
  const text = await readFile('KNOWN-RED.txt', 'utf8').catch(() => '');
  const prefix = `${kind}: `;
  return text
    .split('\n')
    .filter((line) => line.startsWith(prefix))
    .map((line) => line.slice(prefix.length).trim());
}
