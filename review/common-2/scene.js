/* eslint-disable n/no-process-exit -- a test script: its steps follow each other */
/** A small deployment for one script: store, relays, daemons, workers, and the record of what was seen. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { onAnswer } from './client.js';
import { Daemon } from './daemon.js';
import { Relay } from './relay.js';
import { Store } from './store.js';

/** Bounds of the small sites (SYSTEM.md). */
export const BOUNDS = { ContactMs: 3_000, DrainMs: 2_000, ConfigApplyMs: 2_000 };

export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

const REGIONS = { a: 'one', b: 'one', c: 'one' };

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Longest time of a script, in milliseconds. */
const MAX_MS = 115_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export class Scene {
  daemons = [];

  relays = [];

  workers = [];

  #lines = [];

  #startedAt = performance.now();

  constructor(recordFile) {
    this.recordFile = recordFile;
    this.hasTrouble = process.env.TROUBLE !== '0';
    onAnswer((answer) => this.#noteAnswer(answer));
  }

  /** Adds a line to the record. */
  note(text, at = performance.now()) {
    const seconds = ((at - this.#startedAt) / 1_000).toFixed(3).padStart(8);
    this.#lines.push({ at, text: `${seconds} ${text}` });
  }

  /** Adds what a client sent, and what it was answered. */
  #noteAnswer({ id, port, method, path, key, sentAt, endedAt, status, error, isComplete, text }) {
    const machine = this.daemons.find(({ ports }) => ports.callers === port)?.name;
    this.note(`sent ${id} to ${machine}: ${method} ${path} key ${key}`, sentAt);
    const bytes = `${text?.length ?? 0} bytes`;
    const how =
      status === 0 ? error : `${status}, ${isComplete ? 'whole' : 'broken off'}, ${bytes}`;
    this.note(`answered ${id}: ${how}`, endedAt);
  }

  seconds(at) {
    return ((at - this.#startedAt) / 1_000).toFixed(3);
  }

  async startStore() {
    this.dir = await mkdtemp(join(tmpdir(), 'comfreyreel-review-'));
    this.store = await new Store().start();
    return this.store;
  }

  /** Starts a daemon that reaches the store through a relay of its own. */
  async startDaemon(zone) {
    const relay = await new Relay(this.store.address).start();
    const name = `edge-${zone}-${this.daemons.length + 1}`;
    const daemon = new Daemon({
      name,
      zone,
      zones: REGIONS,
      store: relay.address,
      dir: this.dir,
      bounds: BOUNDS,
    });
    this.relays.push(relay);
    this.daemons.push(daemon);
    await daemon.start();
    return daemon;
  }

  /** All connections to the store that are open now go silent for good. */
  silenceStore() {
    const count = this.relays.map((relay) => relay.silence()).reduce((sum, one) => sum + one, 0);
    this.note(`trouble: ${count} open connections to the store go silent, new ones work`);
    return performance.now();
  }

  async end() {
    this.daemons.forEach((daemon) => daemon.kill());
    this.workers.forEach((worker) => worker.stop());
    this.relays.forEach((relay) => relay.stop());
    this.store?.stop();
    this.workers.forEach((worker) => {
      worker.arrivals.forEach(({ id, at, prompt }) => {
        this.note(
          `run ${id} at ${worker.id}${prompt === undefined ? '' : `, prompt ${prompt}`}`,
          at,
        );
      });
    });
    const text = [...this.#lines].sort((one, other) => one.at - other.at);
    await writeFile(this.recordFile, `${text.map((line) => line.text).join('\n')}\n`);
    await Promise.all(this.daemons.map((daemon) => daemon.ended));
    await rm(this.dir, { recursive: true, force: true });
  }
}

/** Plays a scene and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(recordFile, script) {
  const scene = new Scene(recordFile);
  const timer = setTimeout(() => {
    scene.note('not run: out of time');
    void scene.end().then(() => process.exit(NOT_RUN));
  }, MAX_MS);
  let code = NOT_RUN;
  try {
    code = (await script(scene)) ? BROKEN : HELD;
    scene.note(`end: ${code === BROKEN ? 'the rule was broken' : 'the rule held'}`);
  } catch (err) {
    scene.note(`not run: ${err}`);
  }
  clearTimeout(timer);
  await scene.end();
  process.exit(code);
}
