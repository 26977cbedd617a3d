/** Holds the configuration in force; its revision never decreases while the process runs. */
import { performance } from 'node:perf_hooks';

import {
  Configuration,
  joinDocuments,
  MANIFEST_KEY,
  parseStoredManifest,
} from '../config/index.js';
import { parseObject } from '../store/index.js';
import { ConfigFollower } from './configfollower.js';
import { ConfigExchange } from './configexchange.js';
import { PieceLoader } from './pieceloader.js';

import type { Manifest, Piece, PieceRef, StoredManifest } from '../config/index.js';
import type { Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectStore, StoreError } from '../store/index.js';
import type { RolloutView } from './configexchange.js';
import type { Recorder } from '../telemetry/index.js';

/** Dependencies of the configuration of one daemon. */
export interface ConfigContext {
  readonly self: Incarnation;
  readonly dataCentre: string;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** Holds the configuration of one daemon and applies newer revisions. */
export class ConfigTask {
  #current: Configuration | undefined;

  #confirmedAt: number | undefined;

  readonly #loader: PieceLoader;

  readonly #exchange: ConfigExchange;

  readonly #follower: ConfigFollower;

  /**
   * Creates the task and registers the handlers for queries of peers.
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
   * Latest time at which the store is known to have had no later revision, on the monotonic clock
   * of this process ("performance.now()", in milliseconds, which advances while the process is
   * suspended); undefined before the first confirmation.
   */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Milliseconds since the last confirmation; infinite before the first one. */
  get confirmedAgeMs(): number {
    return this.#confirmedAt === undefined ? Infinity : performance.now() - this.#confirmedAt;
  }

  /** Keeps the configuration current until `stop` is called. */
  run(): Promise<void> {
    return this.#follower.run();
  }

  /** Stops the task after the current watch request. */
  stop(): void {
    this.#follower.stop();
  }

  /**
   * Records that the store had no later revision than the one in force.
   * @param at - time at which the store was asked, or an earlier one, on the monotonic clock
   */
  confirm(at: number): void {
    if (this.#confirmedAt === undefined || at > this.#confirmedAt) this.#confirmedAt = at;
  }

  /**
   * Reads the manifest and applies it if it is newer.
   * @returns whether the store answered and its revision or a later one is in force
   */
  async refresh(): Promise<boolean> {
    const askedAt = performance.now();
    const found = await this.readManifest();
    if (found.err || !(await this.apply(found.val.manifest, null))) return false;
    this.confirm(askedAt);
    return true;
  }

  /**
   * Reads the manifest from the store.
   * @returns the manifest with its history
   */
  async readManifest(): Promise<Result<StoredManifest, StoreError>> {
    const found = await this.ctx.store.read(MANIFEST_KEY);
    if (found.err) return found;
    const parsed = parseObject({ key: MANIFEST_KEY, parse: parseStoredManifest }, found.val.value);
    if (parsed.err) this.ctx.recorder.record('configRejected', { detail: parsed.val.text });
    return parsed;
  }

  /**
   * Activates a manifest with all of its pieces if it is newer than the one in force.
   * @param manifest - the manifest
   * @param from - peer that has its pieces; null to read only from the store
   * @param receivedPieces - pieces that arrived in the same message
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
    // Another revision may have come into force while the pieces were loading.
    if (!this.#isNewer(manifest)) return true;
    const previous = this.#current?.manifest;
    this.#current = new Configuration(manifest, joinDocuments(parts));
    this.#loader.keepOnly(manifest);
    this.ctx.recorder.record('configApplied', { detail: `revision ${manifest.revision}` });
    this.#exchange.announce(previous, manifest);
    return true;
  }

  /**
   * Returns pieces from memory.
   * @param refs - references to the pieces
   * @returns the pieces that are in memory
   */
  held(refs: readonly PieceRef[]): readonly Piece[] {
    return this.#loader.held(refs);
  }

  /**
   * Asks every live daemon for its revision.
   * @returns one entry per daemon, this one first
   */
  rollout(): Promise<readonly RolloutView[]> {
    return this.#exchange.rollout();
  }

  /** Returns whether a manifest is newer than the one in force. */
  #isNewer(manifest: Manifest): boolean {
    return manifest.revision > (this.#current?.revision ?? 0);
  }
}
