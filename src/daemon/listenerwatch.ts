/** Keeps a full table of open files, and errors of a listener, from ending a daemon or going unnoticed. */
import { readFile } from 'node:fs/promises';

import type { EventEmitter } from 'node:events';
import { LineLimit } from '../telemetry/index.js';

import type { Recorder } from '../telemetry/index.js';

/**
 * Share of the open files for connections of callers. The rest is for connections to upstreams, the store and other
 * daemons, without which no request that was taken could be served.
 */
const CALLERS_SHARE = 0.75;

/** Maximum number of log lines on a listener in one period, and the period in milliseconds. */
const MAX_LINES = 1;
const LINES_PERIOD_MS = 1_000;

const FULL_REMEDY =
  'raise the limit on open files (ulimit -n, and openFiles in the settings), or start more daemons';

/** Listener of a daemon. */
export interface Listener extends EventEmitter {
  /** Number of connections above which a new one is closed at once, with the event "drop". */
  maxConnections: number;
}

/**
 * Reads how many files and sockets the operating system lets this process have open.
 * @returns the limit; undefined if it cannot be read
 */
async function openFileLimit(): Promise<number | undefined> {
  const text = await readFile('/proc/self/limits', 'utf8').catch(() => '');
  const limit = /^Max open files +(\d+)/m.exec(text)?.[1];
  return limit === undefined ? undefined : Number(limit);
}

/**
 * Logs the errors of a listener, which would end the process if nothing listened for them.
 * @param listener - the listener
 * @param name - its name in the settings
 * @param recorder - records its errors
 */
export function watchListener(
  listener: Pick<Listener, 'on'>,
  name: string,
  recorder: Recorder,
): void {
  const lines = new LineLimit(MAX_LINES, LINES_PERIOD_MS);
  listener.on('error', (err) => {
    const unlogged = lines.admit(performance.now());
    if (unlogged === undefined) return;
    const detail = `listen.${name}: ${String(err)}; ${FULL_REMEDY}`;
    recorder.record('listenerFailed', { detail, facts: { unlogged } });
  });
}

/**
 * Bounds the number of connections of callers, and logs those that are closed for it.
 * @param listener - listener for callers
 * @param recorder - records them
 * @param openFiles - number of files and sockets that the process may have open; the limit of the operating system if
 * it is left out
 */
export async function limitConnections(
  listener: Listener,
  recorder: Recorder,
  openFiles?: number | null,
): Promise<void> {
  const limit = openFiles ?? (await openFileLimit());
  if (limit === undefined) return;
  const connections = Math.ceil(limit * CALLERS_SHARE);
  const lines = new LineLimit(MAX_LINES, LINES_PERIOD_MS);
  Object.assign(listener, { maxConnections: connections });
  listener.on('drop', () => {
    const unlogged = lines.admit(performance.now());
    if (unlogged === undefined) return;
    const facts = { connections, openFiles: limit, unlogged };
    recorder.record('connectionDropped', { detail: FULL_REMEDY, facts });
  });
}
