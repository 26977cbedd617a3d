#!/usr/bin/env node
/** Entry point of the daemon, comfreyreeld. */
import './v8flags.js';
import './startsignals.js';

import { readFile } from 'node:fs/promises';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { formatProblem } from '../kernel/index.js';
import { Daemon } from './daemon.js';
import { EXIT_NO_ADDRESS, startWhenFree } from './listenaddresses.js';
import { safeParseSettings } from './settings.js';
import { handleSignals } from './signals.js';
import { writeStartLine } from './startlines.js';
import { handleUnexpectedErrors } from './unexpectederrors.js';

import type { Settings } from './settings.js';

/** Exit code for unreadable or invalid settings. */
const EXIT_INVALID_SETTINGS = 2;

/**
 * Exit code of a fenced incarnation, whose budget rows another daemon has taken over; the platform
 * then starts a new incarnation.
 */
const EXIT_FENCED = 3;

/** Time for which a start waits until a predecessor has left its addresses, in milliseconds. */
const ADDRESS_WAIT_MS = 10_000;

async function readSettings(file: string): Promise<Settings | undefined> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (err) {
    writeStartLine(`${file}: ${String(err)}; name a readable settings file`);
    return undefined;
  }
  const parsed = safeParseSettings(file, text);
  if (parsed.ok) return parsed.val;
  parsed.val.forEach((problem) => writeStartLine(formatProblem(problem)));
  return undefined;
}

const argv = await yargs(hideBin(process.argv))
  .scriptName('comfreyreeld')
  .usage('$0 --config FILE')
  .option('config', { type: 'string', demandOption: true, describe: 'settings file (YAML)' })
  .strict()
  .parse();

const settings = await readSettings(argv.config);
if (settings) {
  const daemon = await startWhenFree(settings.listen, ADDRESS_WAIT_MS, () =>
    Daemon.start(settings),
  );
  if (!daemon) {
    // What a failed start has begun would otherwise keep the process running.
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_NO_ADDRESS);
  }
  const stop = handleSignals(daemon);
  handleUnexpectedErrors(daemon.runtime.recorder, stop);
  void daemon.runtime.fenced.then(() => stop('fenced', EXIT_FENCED));
} else process.exitCode = EXIT_INVALID_SETTINGS;
