/** Listeners on free ports. */

/** Lets a server listen on a free port of an address; returns the port. */
export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

/** Resolves after a time, in milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
