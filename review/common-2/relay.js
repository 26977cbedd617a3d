/* eslint-disable no-param-reassign -- a test script: its steps follow each other */
/** TCP relay whose open connections can go silent for good, while new ones work (DEPLOY.md, "How these days are played"). */
import { connect, createServer } from 'node:net';

export class Relay {
  #pairs = new Set();

  #target;

  #refuses = false;

  #server = createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket));

  constructor(target) {
    this.#target = target;
  }

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** From now on nothing passes on the connections that are open; neither side is told. Returns their number. */
  silence() {
    const pairs = [...this.#pairs].filter((pair) => !pair.isSilent);
    pairs.forEach((pair) => {
      pair.isSilent = true;
    });
    return pairs.length;
  }

  /** Resets all connections, and each new one, until "accept". */
  refuse() {
    this.#refuses = true;
    this.#pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.destroy();
    });
  }

  accept() {
    this.#refuses = false;
  }

  stop() {
    this.#server.close();
    this.#pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  #accept(near) {
    if (this.#refuses) {
      near.on('error', () => undefined);
      near.resetAndDestroy();
      return;
    }
    const [host, port] = this.#target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    near.setNoDelay(true);
    far.setNoDelay(true);
    const pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    this.#forward(pair, near, far);
    this.#forward(pair, far, near);
  }

  #forward(pair, from, to) {
    from.on('data', (bytes) => {
      if (!pair.isSilent) to.write(bytes);
    });
    from.on('end', () => {
      if (!pair.isSilent) to.end();
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      if (!pair.isSilent) to.destroy();
      if (pair.near.destroyed) this.#pairs.delete(pair);
    });
  }
}
