/** Reads how the platform starts the bundled daemon. */
import { readFile } from 'node:fs/promises';

/** File that tells the platform how to build and start the daemon. */
const DEPLOY_FILE = 'deploy/system.toml';

/** Command with which the platform starts the daemon. */
export interface RunCommand {
  /** Flags of Node.js and V8. */
  readonly flags: readonly string[];
  /** Path of the started script. */
  readonly script: string;
}

/**
 * Reads the command from the deploy file in the current folder.
 * @returns flags and script
 * @throws Error if the file has no line that starts Node.js
 */
export async function readRunCommand(): Promise<RunCommand> {
  const file = await readFile(DEPLOY_FILE, 'utf8');
  const words = /^run = "node (.*)"$/m.exec(file)?.[1]?.split(' ') ?? [];
  const script = words.at(-1);
  if (script === undefined) {
    throw new Error(
      `${DEPLOY_FILE}: no program to start; add a line that begins with: run = "node`,
    );
  }
  return { flags: words.slice(0, -1), script };
}
