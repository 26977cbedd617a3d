/** Allocates TCP ports on loopback, below the ephemeral port range of outgoing connections. */
import { createConnection, createServer } from 'node:net';

import type { Server } from 'node:net';

const HOST = '127.0.0.1';

/** First port of the first block. */
const FIRST_PORT = 10_000;

/** Ports in one block; each process claims one block until it exits. */
const BLOCK_PORTS = 200;

const BLOCK_COUNT = 100;

/** Time after which a listener that does not accept a connection counts as one, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Block of ports that this process has claimed. */
interface Block {
  /** First port; bound for as long as the process runs. */
  readonly base: number;
  /** Offset of the port to try next. */
  next: number;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

/**
 * Checks by a connection whether a process listens on a port. To listen on the port and stop again would not leave it
 * free: a process that another thread starts meanwhile has a copy of the listening socket until it runs its program.
 */
function isListening(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createConnection({ port, host: HOST, timeout: CONNECT_TIMEOUT_MS });
    const finish = (isTaken: boolean): void => {
      socket.destroy();
      resolve(isTaken);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(true));
    socket.once('error', () => finish(false));
  });
}

/** Binds the first port of a free block, so that no other process claims the block. */
async function claimBlock(): Promise<Block> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt += 1) {
    const base = FIRST_PORT + ((process.pid + attempt) % BLOCK_COUNT) * BLOCK_PORTS;
    // Each block is tried only if the one before it is taken.
    // eslint-disable-next-line no-await-in-loop
    const server = await listen(base);
    if (server) {
      server.unref();
      return { base, next: 1 };
    }
  }
  throw new Error('no block of ports is free; stop other test runs');
}

let block: Promise<Block> | undefined;

/**
 * Finds a free port; concurrent processes never get the same one.
 * @returns a port on which nothing listens
 * @throws Error if no block, or no port of the block, is free
 */
export async function freePort(): Promise<number> {
  block ??= claimBlock();
  const own = await block;
  for (let attempt = 1; attempt < BLOCK_PORTS; attempt += 1) {
    const port = own.base + own.next;
    own.next = (own.next % (BLOCK_PORTS - 1)) + 1;
    // eslint-disable-next-line no-await-in-loop
    if (!(await isListening(port))) return port;
  }
  throw new Error(`no free port in the block that begins at ${own.base}`);
}
