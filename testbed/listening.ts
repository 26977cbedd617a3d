/** Lets servers listen on free ports. */
import type { AddressInfo, Server } from 'node:net';

/**
 * Starts a server on a free port of the loopback interface.
 * @param server - server that does not listen yet
 * @returns address of the server, "IP:port"
 */
export async function listenOnFreePort(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
