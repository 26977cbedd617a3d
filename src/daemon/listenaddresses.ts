/** Checks the addresses of a daemon before it starts: a predecessor that is still ending may listen there. */
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { splitAddress } from './settings.js';
import { writeStartLine } from './startlines.js';

/** Exit code if the daemon cannot listen on one of its addresses. */
export const EXIT_NO_ADDRESS = 4;

/** Interval at which an address that is in use is tried again, in milliseconds. */
const RETRY_MS = 100;

/** Code of the error of an address on which another process listens. */
const IN_USE = 'EADDRINUSE';

const FREE_REMEDY = 'end the process that listens there, or change the address in the settings';

const OTHER_REMEDY = 'name a free port, which this user may use, on an address of this machine';

/** Result of a try to listen on an address. */
interface Trial {
  /** Name of the address in the settings. */
  readonly name: string;
  readonly address: string;
  /** Code of the error; undefined if the address is free. */
  readonly code: string | undefined;
}

/** Listens on an address and stops again. A connection that comes in between is closed unread. */
function tryAddress(name: string, address: string): Promise<Trial> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', ({ code = 'unknown error' }: NodeJS.ErrnoException) =>
      resolve({ name, address, code }),
    );
    server.listen(port, host, () =>
      server.close(() => resolve({ name, address, code: undefined })),
    );
  });
}

async function failedTrials(addresses: Readonly<Record<string, string>>): Promise<Trial[]> {
  const trials = await Promise.all(
    Object.entries(addresses).map(([name, address]) => tryAddress(`listen.${name}`, address)),
  );
  return trials.filter(({ code }) => code !== undefined);
}

/**
 * Waits until a daemon can listen on all of its addresses.
 * @param addresses - the addresses, "IP:port", by their names in the settings
 * @param waitMs - time for which addresses that are in use are waited for, in milliseconds
 * @param log - writes a line
 * @returns whether all are free; if not, the reasons were logged
 */
export async function waitForAddresses(
  addresses: Readonly<Record<string, string>>,
  waitMs: number,
  log: (line: string) => void,
): Promise<boolean> {
  const startedAt = performance.now();
  let hasLogged = false;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop
    const failed = await failedTrials(addresses);
    if (failed.length === 0) return true;
    const other = failed.filter(({ code }) => code !== IN_USE);
    const waitedMs = Math.round(performance.now() - startedAt);
    if (other.length > 0) {
      other.forEach(({ name, address, code }) =>
        log(`${name}: ${address}: ${code}; ${OTHER_REMEDY}`),
      );
      return false;
    }
    if (waitedMs >= waitMs) {
      failed.forEach(({ name, address }) =>
        log(`${name}: ${address} is still in use after ${waitedMs} ms; ${FREE_REMEDY}`),
      );
      return false;
    }
    if (!hasLogged) {
      failed.forEach(({ name, address }) =>
        log(`${name}: ${address} is in use, waiting for up to ${waitMs} ms; ${FREE_REMEDY}`),
      );
      hasLogged = true;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(RETRY_MS);
  }
}

/**
 * Starts a daemon once its addresses are free.
 * @param addresses - the addresses, "IP:port", by their names in the settings
 * @param waitMs - time for which addresses that are in use are waited for, in milliseconds
 * @param start - starts the daemon
 * @returns the daemon; undefined if it cannot listen, with the reasons on standard error
 */
export async function startWhenFree<Daemon>(
  addresses: Readonly<Record<string, string>>,
  waitMs: number,
  start: () => Promise<Daemon>,
): Promise<Daemon | undefined> {
  if (!(await waitForAddresses(addresses, waitMs, writeStartLine))) return undefined;
  try {
    return await start();
  } catch (err) {
    if ((err as NodeJS.ErrnoException).syscall !== 'listen') throw err;
    // Another process was faster, or two addresses of the settings are the same.
    writeStartLine(`listen: ${String(err)}; ${FREE_REMEDY}`);
    return undefined;
  }
}
