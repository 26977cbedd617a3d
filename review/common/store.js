/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
/**
 * Stand-in for the platform's metadata store: objects by kind and name, one revision counter, conditional writes,
 * lists in one page and waiting watches. It answers within a few milliseconds and loses nothing.
 */
import { createServer } from 'node:http';

import { listen } from './net.js';

async function bodyOf(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
}

/** Keeps objects in memory and serves them over HTTP. */
export class Store {
  #objects = new Map();

  #events = [];

  #waiters = new Set();

  #sockets = new Set();

  /** Revision up to which the history of a kind is gone. */
  #forgotten = new Map();

  #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  /** Starts a store on a free port of an address. */
  static async start(host) {
    const store = new Store();
    store.#server.keepAliveTimeout = 0;
    store.#server.on('connection', (socket) => {
      socket.on('error', () => undefined);
      if (store.isDown) {
        socket.resetAndDestroy();
        return;
      }
      store.#sockets.add(socket);
      socket.on('close', () => store.#sockets.delete(socket));
    });
    store.port = await listen(store.#server, host);
    store.address = `${host}:${store.port}`;
    return store;
  }

  /** Writes an object, as the operator or a worker does; removes it if there is no content. */
  put(key, spec) {
    const [kind, name] = key.split('/');
    const revision = this.#events.length + 1;
    const resource = {
      Metadata: { Name: name, Revision: revision, Created: revision, Finalizers: [] },
      Spec: spec,
      Status: null,
    };
    if (spec === undefined) this.#objects.delete(key);
    else this.#objects.set(key, resource);
    this.#events.push({ kind, Resource: resource, Deleted: spec === undefined });
    this.#wake();
    return resource;
  }

  #wake() {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    waiters.forEach((wake) => wake());
  }

  /** Goes down: resets all connections, and new ones until it is up again. */
  goDown() {
    this.isDown = true;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Is up again. */
  goUp() {
    this.isDown = false;
  }

  /** Discards the history of a kind: watches from an earlier revision are answered 410. */
  forget(kind) {
    this.#forgotten.set(kind, this.#events.length);
    this.#wake();
  }

  /** Returns the content of an object. */
  get(key) {
    return this.#objects.get(key)?.Spec;
  }

  /** Returns the number of objects of a kind. */
  count(kind) {
    return [...this.#objects.keys()].filter((key) => key.startsWith(`${kind}/`)).length;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = await bodyOf(req);
    const { status, value } = await this.#answer(req.method, url, body);
    const text = JSON.stringify(value ?? {});
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  async #answer(method, url, body) {
    const [, , kind, encoded] = url.pathname.split('/');
    const name = encoded && decodeURIComponent(encoded);
    const key = `${kind}/${name ?? body?.Metadata?.Name}`;
    if (url.searchParams.has('Subscribe')) {
      const since = Number(url.searchParams.get('Subscribe'));
      return this.#watch(kind, since, Number(url.searchParams.get('WaitMs')));
    }
    if (method === 'GET' && name === undefined) return this.#list(kind);
    const found = this.#objects.get(key);
    if (method === 'POST') {
      return found
        ? { status: 409, value: found }
        : { status: 200, value: this.put(key, body.Spec) };
    }
    if (!found) return { status: 404 };
    if (method === 'GET') return { status: 200, value: found };
    const expected = body?.Metadata?.Revision ?? url.searchParams.get('Revision');
    const isCurrent = expected === undefined || Number(expected) === found.Metadata.Revision;
    if (!isCurrent) return { status: 409, value: found };
    if (method === 'DELETE') return { status: 200, value: this.put(key, undefined) };
    const isSame = JSON.stringify(found.Spec) === JSON.stringify(body.Spec);
    return { status: 200, value: isSame ? found : this.put(key, body.Spec) };
  }

  #list(kind) {
    const entries = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`));
    const value = {
      Entries: entries.map(([, object]) => object),
      HasMore: false,
      At: this.#events.length,
    };
    return { status: 200, value };
  }

  async #watch(kind, since, waitMs) {
    const until = performance.now() + waitMs;
    const found = () => this.#events.slice(since).filter((event) => event.kind === kind);
    const isGone = () => since < (this.#forgotten.get(kind) ?? 0);
    while (!isGone() && found().length === 0 && performance.now() < until) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(0, until - performance.now()));
        this.#waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (isGone()) return { status: 410 };
    const events = found().map(({ Resource, Deleted }) => ({ Resource, Deleted }));
    return { status: 200, value: { events, At: this.#events.length } };
  }
}
