/** Opens servers on free ports. */
import type { AddressInfo, Server } from 'node:net';

/**
 * Opens a server on a free port of the loopback interface.
 * @param server - the server
 * @returns its address, "IP:port"
 */
export async function listenOnFreePort(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
