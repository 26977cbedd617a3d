/** Free TCP ports on loopback. */
import { createServer } from 'node:net';

import type { AddressInfo } from 'node:net';

/**
 * Finds a free port.
 * @returns a port that nothing listened on
 */
export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
