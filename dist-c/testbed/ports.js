/** Free TCP ports on loopback. */
import { createServer } from 'node:net';
/**
 * Finds a free port.
 * @returns a port that nothing listened on
 */
export async function freePort() {
    const server = createServer();
    await new Promise((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address();
    await new Promise((resolve) => {
        server.close(resolve);
    });
    return port;
}
//# sourceMappingURL=ports.js.map