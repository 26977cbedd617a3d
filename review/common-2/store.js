/* eslint-disable no-await-in-loop -- a test script: its steps follow each other */
/** Stand-in of the platform's metadata store, after PROTOCOL.md: objects by kind and name, one revision, lists, watches. */
import { createServer } from 'node:http';

/** Longest wait of one watch, in milliseconds (PROTOCOL.md). */
const MAX_WAIT_MS = 30_000;

/** A store in memory. It always answers soundly; faults are made by the relays in front of it. */
export class Store {
  #objects = new Map();

  #changes = [];

  #revision = 1;

  #era = 1;

  #waiters = new Set();

  #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  /** Called for each call: method, path. */
  onCall = () => undefined;

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object for the operator or a worker. Returns when it was accepted, in milliseconds. */
  put(key, spec) {
    this.#change(key, spec, 'others');
    return performance.now();
  }

  /** Removes an object for the platform. */
  remove(key) {
    this.#change(key, undefined, 'others');
    return performance.now();
  }

  spec(key) {
    return this.#objects.get(key)?.Spec;
  }

  keys(prefix) {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Comes back from a copy of the given age: what the system wrote since is gone, what others wrote is written again. */
  comeBack(ageMs) {
    const at = performance.now() - ageMs;
    const all = this.#changes;
    this.#objects = new Map();
    this.#changes = [];
    this.#revision = 1;
    all.filter((change) => change.at <= at).forEach((change) => this.#apply(change));
    this.#revision = Math.max(1, ...this.#changes.map(({ revision }) => revision));
    this.#era += 1;
    this.#server.closeAllConnections();
    const lost = new Map(
      all
        .filter((change) => change.at > at && change.writer === 'others')
        .map((change) => [change.key, change.object?.Spec]),
    );
    lost.forEach((spec, key) => this.#change(key, spec, 'others'));
    return { era: this.#era, lostCalls: all.filter((change) => change.at > at).length };
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url, 'http://store');
    this.onCall(req.method, req.url);
    const answer = await this.#answer(req.method, url, text === '' ? {} : JSON.parse(text), res);
    if (res.destroyed) return;
    res.writeHead(answer.status, {
      'content-type': 'application/json',
      'store-era': String(this.#era),
    });
    res.end(JSON.stringify(answer.body ?? {}));
  }

  async #answer(method, url, body, res) {
    const [, , kind, encoded] = url.pathname.split('/');
    const since = url.searchParams.get('Subscribe');
    if (since !== null)
      return this.#watch(kind, Number(since), Number(url.searchParams.get('WaitMs') ?? 0), res);
    if (method === 'GET' && encoded === undefined) return this.#list(kind);
    const name = encoded === undefined ? body.Metadata.Name : decodeURIComponent(encoded);
    const key = `${kind}/${name}`;
    const found = this.#objects.get(key);
    if (method === 'POST') {
      if (found) return { status: 409, body: found };
      this.#change(key, body.Spec, 'system');
      return { status: 200, body: this.#objects.get(key) };
    }
    if (!found) return { status: 404 };
    if (method === 'GET') return { status: 200, body: found };
    const stated = body.Metadata?.Revision ?? url.searchParams.get('Revision') ?? undefined;
    if (stated !== undefined && Number(stated) !== found.Metadata.Revision)
      return { status: 409, body: found };
    if (method === 'PUT' && JSON.stringify(found.Spec) === JSON.stringify(body.Spec))
      return { status: 200, body: found };
    this.#change(key, method === 'DELETE' ? undefined : body.Spec, 'system');
    return { status: 200, body: this.#objects.get(key) ?? found };
  }

  #list(kind) {
    const Entries = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return { status: 200, body: { Entries, HasMore: false, At: this.#revision } };
  }

  async #watch(kind, since, waitMs, res) {
    if (since > this.#revision) return { status: 410 };
    const until = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    const found = () =>
      this.#changes.filter((change) => change.kind === kind && change.revision > since);
    while (found().length === 0 && performance.now() < until && !res.destroyed) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, until - performance.now()));
        this.#waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const events = found().map(({ object, last }) => ({
      Resource: object ?? last,
      Deleted: object === undefined,
    }));
    return { status: 200, body: { events, At: this.#revision } };
  }

  #change(key, spec, writer) {
    const [kind, name] = key.split('/');
    const before = this.#objects.get(key);
    if (spec === undefined && !before) return;
    this.#revision += 1;
    const Metadata = {
      Name: name,
      Revision: this.#revision,
      Created: before?.Metadata.Created ?? this.#revision,
      Finalizers: [],
      DeletionPending: false,
    };
    const object = spec === undefined ? undefined : { Metadata, Spec: spec, Status: null };
    const last = { Metadata, Spec: before?.Spec ?? null, Status: null };
    const at = performance.now();
    this.#apply({ key, kind, object, last, writer, at, revision: this.#revision });
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    waiters.forEach((wake) => wake());
  }

  #apply(change) {
    this.#changes.push(change);
    if (change.object) this.#objects.set(change.key, change.object);
    else this.#objects.delete(change.key);
  }
}
