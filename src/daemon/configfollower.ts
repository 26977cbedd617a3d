/** Keeps the configuration current: a few daemons watch the store, the others poll those. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { catchUp, MANIFEST_KEY, revisionSources, watchersOf } from '../config/index.js';
import { drive } from '../kernel/index.js';
import { MAX_PIECES_PER_ANSWER } from './pieceloader.js';

import type { CatchUpCommand, CatchUpEvent, Manifest } from '../config/index.js';
import type { InstanceName } from '../kernel/index.js';
import type { ConfigContext, ConfigTask } from './configtask.js';
import type { ConfigExchange } from './configexchange.js';

/** Longest duration of a watch request, in milliseconds; its answer confirms the configuration. */
const WATCH_TIMEOUT_MS = 500;

/** Interval between the polls of a daemon that does not watch the store, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/** One poll in this many reads the store if no peer gives a fresh answer. */
const ROUNDS_PER_STORE_READ = 8;

/** Delay after an unsuccessful attempt to catch up, in milliseconds. */
const RETRY_DELAY_MS = 200;

/** Runs the loop that keeps the configuration of one daemon current. */
export class ConfigFollower {
  #stopped = false;

  #watchPosition = 0;

  #round = Math.floor(Math.random() * ROUNDS_PER_STORE_READ);

  #isStoreReachable = true;

  /**
   * Creates the loop; it starts when `run` is called.
   * @param ctx - identity, store and peers
   * @param config - configuration in force
   * @param exchange - exchange of revisions with the peers
   */
  constructor(
    private readonly ctx: ConfigContext,
    private readonly config: ConfigTask,
    private readonly exchange: ConfigExchange,
  ) {}

  /** Loads a first revision, then keeps it current until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      // Steps are sequential.
      // eslint-disable-next-line no-await-in-loop
      const waitMs = await (this.config.current ? this.#follow() : this.#catchUp());
      // eslint-disable-next-line no-await-in-loop
      if (waitMs > 0) await delay(waitMs);
    }
  }

  /** Stops the loop after the current step. */
  stop(): void {
    this.#stopped = true;
  }

  /** Tries to load a first revision; returns the delay before the next step, in milliseconds. */
  async #catchUp(): Promise<number> {
    const outcome = await drive(catchUp(), (command) => this.#perform(command));
    if (outcome === 'peers') this.ctx.recorder.record('configFromPeers');
    return outcome === 'nothing' ? RETRY_DELAY_MS : 0;
  }

  async #perform(command: CatchUpCommand): Promise<CatchUpEvent> {
    if (command.type === 'ask-peers') {
      return { type: 'revisions', peerRevisions: await this.exchange.askOutagePeers() };
    }
    if (command.type === 'apply') {
      const from = command.from ?? this.#pieceSource(command.manifest);
      const isComplete = await this.config.apply(command.manifest, from);
      return { type: 'applied', isComplete };
    }
    if (command.type === 'ask-manifest') {
      const manifest = await this.exchange.askManifest(command.peer);
      return manifest ? { type: 'manifest', manifest } : { type: 'no-answer' };
    }
    const found = await this.config.readManifest();
    return found.ok ? { type: 'stored', manifest: found.val.manifest } : { type: 'no-answer' };
  }

  /** Peer to load a large revision from, to spare the store; null for a small revision. */
  #pieceSource({ pieces }: Manifest): InstanceName | null {
    if (pieces.length <= MAX_PIECES_PER_ANSWER) return null;
    const sources = revisionSources(this.exchange.location, this.ctx.network.peers(), this.#round);
    return sources[0] ?? null;
  }

  /** Confirms or updates the revision; returns the delay before the next step, in milliseconds. */
  async #follow(): Promise<number> {
    const peers = this.ctx.network.peers();
    const { location } = this.exchange;
    if (watchersOf(location, peers).includes(location.self) && (await this.#watch())) return 0;
    this.#round += 1;
    const sources = revisionSources(location, peers, this.#round);
    for (let index = 0; index < sources.length; index += 1) {
      // The next source is asked only if this one gives no fresh answer.
      // eslint-disable-next-line no-await-in-loop
      if (await this.exchange.syncWith(sources[index] ?? '')) return POLL_INTERVAL_MS;
    }
    // Reads of the store are rare: during an outage every daemon of the fleet gets here.
    if (this.#round % ROUNDS_PER_STORE_READ === 0)
      this.#noteStoreReachable(await this.config.refresh());
    return POLL_INTERVAL_MS;
  }

  /** Sends one watch request to the store; returns whether the configuration is confirmed. */
  async #watch(): Promise<boolean> {
    const askedAt = performance.now();
    const batch = await this.ctx.store.watch(MANIFEST_KEY, this.#watchPosition, WATCH_TIMEOUT_MS);
    if (batch.err) return this.#noteStoreReachable(false);
    if (batch.val.changes.length === 0) this.config.confirm(askedAt);
    else if (!(await this.config.refresh())) return this.#noteStoreReachable(false);
    this.#watchPosition = batch.val.position;
    return this.#noteStoreReachable(true);
  }

  #noteStoreReachable(answers: boolean): boolean {
    if (this.#isStoreReachable && !answers) this.ctx.recorder.record('configUnconfirmed');
    this.#isStoreReachable = answers;
    return answers;
  }
}
