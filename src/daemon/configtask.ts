/** Keeps the configuration in force; its revision only rises in the life of a daemon. */
import { performance } from 'node:perf_hooks';

import { Configuration, joinDocuments, MANIFEST_KEY, parseManifest } from '../config/index.js';
import { ConfigFollower } from './configfollower.js';
import { ConfigExchange } from './configexchange.js';
import { PieceLoader } from './pieceloader.js';

import type { Manifest, Piece, PieceRef, StoredManifest } from '../config/index.js';
import type { Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectStore, StoreError } from '../store/index.js';
import type { RolloutView } from './configexchange.js';
import type { Recorder } from '../telemetry/index.js';

/** What the configuration of one daemon needs. */
export interface ConfigContext {
  readonly self: Incarnation;
  readonly dataCentre: string;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** Owns the configuration of one daemon. */
export class ConfigTask {
  #current: Configuration | undefined;

  #confirmedAt: number | undefined;

  readonly #loader: PieceLoader;

  readonly #exchange: ConfigExchange;

  readonly #follower: ConfigFollower;

  /**
   * Creates the task and answers the questions of peers.
   * @param ctx - identity, store, peers and recorder
   */
  constructor(private readonly ctx: ConfigContext) {
    this.#loader = new PieceLoader(ctx);
    this.#exchange = new ConfigExchange(ctx, this);
    this.#follower = new ConfigFollower(ctx, this, this.#exchange);
  }

  /** Configuration in force; undefined before the first revision. */
  get current(): Configuration | undefined {
    return this.#current;
  }

  /**
   * When the store certainly had no later revision, on the monotonic clock of this process
   * ("performance.now()", in milliseconds, which runs on while the process is frozen);
   * undefined before the first time.
   */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Milliseconds since the configuration was confirmed; infinite before the first time. */
  get confirmedAgeMs(): number {
    return this.#confirmedAt === undefined ? Infinity : performance.now() - this.#confirmedAt;
  }

  /** Follows the configuration until "stop". */
  run(): Promise<void> {
    return this.#follower.run();
  }

  /** Ends the task after the running watch. */
  stop(): void {
    this.#follower.stop();
  }

  /**
   * Takes note that the store had no later revision than the one in force.
   * @param at - when the question was sent, or earlier, on the monotonic clock
   */
  confirm(at: number): void {
    if (this.#confirmedAt === undefined || at > this.#confirmedAt) this.#confirmedAt = at;
  }

  /**
   * Reads the manifest and applies it if it is newer.
   * @returns whether the store answered and its revision is in force
   */
  async refresh(): Promise<boolean> {
    const askedAt = performance.now();
    const found = await this.readManifest();
    if (found.err || !(await this.apply(found.val.manifest, null))) return false;
    this.confirm(askedAt);
    return true;
  }

  /**
   * Reads the manifest of the store.
   * @returns the manifest with its history
   */
  async readManifest(): Promise<Result<StoredManifest, StoreError>> {
    const found = await this.ctx.store.read(MANIFEST_KEY);
    return found.map(({ value }) => parseManifest(value));
  }

  /**
   * Puts a manifest in force, as a whole, if it is newer than the one in force.
   * @param manifest - the manifest
   * @param from - peer that has its pieces; null for the store alone
   * @param receivedPieces - pieces that came along
   * @returns whether this revision or a later one is in force
   */
  async apply(
    manifest: Manifest,
    from: InstanceName | null,
    receivedPieces: readonly Piece[] = [],
  ): Promise<boolean> {
    if (!this.#isNewer(manifest)) return true;
    this.#loader.addVerified(receivedPieces);
    const parts = await this.#loader.load(manifest, from);
    if (!parts) {
      this.ctx.recorder.record('configRejected', { detail: `revision ${manifest.revision}` });
      return false;
    }
    // Another revision may have come into force while the pieces were loaded.
    if (!this.#isNewer(manifest)) return true;
    const previous = this.#current?.manifest;
    this.#current = new Configuration(manifest, joinDocuments(parts));
    this.#loader.keepOnly(manifest);
    this.ctx.recorder.record('configApplied', { detail: `revision ${manifest.revision}` });
    this.#exchange.announce(previous, manifest);
    return true;
  }

  /**
   * Gives pieces of the revision in force.
   * @param refs - the pieces
   * @returns those that are at hand
   */
  held(refs: readonly PieceRef[]): readonly Piece[] {
    return this.#loader.held(refs);
  }

  /**
   * Asks every live daemon for its revision.
   * @returns a line for each, this one first
   */
  rollout(): Promise<readonly RolloutView[]> {
    return this.#exchange.rollout();
  }

  /** Whether a manifest is newer than the one in force. */
  #isNewer(manifest: Manifest): boolean {
    return manifest.revision > (this.#current?.revision ?? 0);
  }
}
