/** Frame of a case: a temporary folder, the record, and the end of everything that was started. */
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { Store } from './store.js';

/** Longest time of a case, in milliseconds. */
const MAX_CASE_MS = 115_000;

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param url - URL of the module of the case; the record is written beside it
 * @param play - the case; returns whether the rule held
 */
export async function runCase(url, play) {
  const output = createWriteStream(fileURLToPath(new URL('./record.txt', url)));
  output.write(`disruption: ${HAS_TROUBLE ? 'yes' : 'no'}\n`);
  const startedAt = performance.now();
  const record = (line) => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    output.write(`${at} ${line}\n`);
  };
  const dir = await mkdtemp(join(tmpdir(), 'review-'));
  const daemons = [];
  const finish = async (code) => {
    daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    await rm(dir, { recursive: true, force: true });
    // Open connections and timers of the stand-ins would keep the process running.
    // eslint-disable-next-line n/no-process-exit
    output.end(() => process.exit(code));
  };
  setTimeout(() => {
    record('the case took too long');
    void finish(2);
  }, MAX_CASE_MS);
  try {
    const store = await Store.start('127.0.0.1');
    const isKept = await play({ store, dir, daemons, workers: [], record });
    record(isKept ? 'the rule held' : 'the rule is broken');
    await finish(isKept ? 0 : 1);
  } catch (err) {
    record(`the case couldn't run: ${err.stack ?? err}`);
    await finish(2);
  }
}
