/** Holds back the interim answer "100 Continue", with which the server would ask for each body at once. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/** Requests whose callers wait to be asked for the body. */
const held = new WeakSet<IncomingMessage>();

/**
 * Passes requests on whose callers wait to be asked for the body.
 * @param server - server for callers
 */
export function holdContinue(server: Server): void {
  server.on('checkContinue', (req, res) => {
    held.add(req);
    server.emit('request', req, res);
  });
}

/**
 * Asks for the body of a request if its caller waits for that.
 * @param req - the request
 * @param res - its response
 */
export function askForBody(req: IncomingMessage, res: ServerResponse): void {
  if (held.delete(req) && !res.headersSent) res.writeContinue();
}
