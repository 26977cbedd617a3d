/** Loads the pieces of a revision from memory, then from a peer, then from the store. */
import { pieceDigest, documentsSchema, pieceKey } from '../config/index.js';

import type { Documents, Manifest, Piece, PieceRef } from '../config/index.js';
import type { InstanceName } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { ObjectStore } from '../store/index.js';

/** Longest wait for a peer's answer with pieces, in milliseconds. */
const PEER_TIMEOUT_MS = 1_000;

/** Most pieces in one answer of a peer. */
export const MAX_PIECES_PER_ANSWER = 32;

/** Concurrent reads from the store; bounded so that a full load stays within its read rate. */
const MAX_CONCURRENT_READS = 8;

/** Sources of pieces. */
export interface PieceSources {
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
}

/** Holds the pieces of the revision in force. */
export class PieceLoader {
  readonly #pieces = new Map<string, Documents>();

  /**
   * Creates a loader without pieces.
   * @param sources - store and peers
   */
  constructor(private readonly sources: PieceSources) {}

  /**
   * Adds pieces received from a peer; pieces whose content does not match their digest are dropped.
   * @param pieces - the pieces
   */
  addVerified(pieces: readonly Piece[]): void {
    pieces
      .filter(({ digest, documents }) => pieceDigest(documents) === digest)
      .forEach(({ digest, documents }) => this.#pieces.set(digest, documents));
  }

  /**
   * Returns pieces from memory.
   * @param refs - references to the pieces
   * @returns the pieces that are in memory; the others are left out
   */
  held(refs: readonly PieceRef[]): readonly Piece[] {
    return refs.flatMap(({ slot, digest }) => {
      const documents = this.#pieces.get(digest);
      return documents ? [{ slot, digest, documents }] : [];
    });
  }

  /**
   * Loads every piece of a manifest.
   * @param manifest - the manifest
   * @param from - peer that has the pieces; null to read only from the store
   * @returns the documents of each piece; undefined if a piece could not be loaded
   */
  async load(
    manifest: Manifest,
    from: InstanceName | null,
  ): Promise<readonly Documents[] | undefined> {
    if (from !== null) await this.#loadFromPeer(manifest, from);
    await this.#loadFromStore(manifest);
    const parts = manifest.pieces.map(({ digest }) => this.#pieces.get(digest));
    const found = parts.filter((part) => part !== undefined);
    return found.length === parts.length ? found : undefined;
  }

  /**
   * Drops every piece that a manifest does not name.
   * @param manifest - manifest in force
   */
  keepOnly(manifest: Manifest): void {
    const named = new Set(manifest.pieces.map(({ digest }) => digest));
    [...this.#pieces.keys()]
      .filter((digest) => !named.has(digest))
      .forEach((digest) => this.#pieces.delete(digest));
  }

  #missing(manifest: Manifest): readonly string[] {
    return manifest.pieces
      .map(({ digest }) => digest)
      .filter((digest) => !this.#pieces.has(digest));
  }

  async #loadFromPeer(manifest: Manifest, to: InstanceName): Promise<void> {
    const missing = this.#missing(manifest);
    for (let start = 0; start < missing.length; start += MAX_PIECES_PER_ANSWER) {
      const digests = missing.slice(start, start + MAX_PIECES_PER_ANSWER);
      // The size of an answer is bounded, so a large revision needs several sequential requests.
      // eslint-disable-next-line no-await-in-loop
      const answer = await this.sources.network.request({
        to,
        body: { type: 'ask-pieces', digests },
        reply: 'pieces',
        timeoutMs: PEER_TIMEOUT_MS,
      });
      if (answer.err) return;
      this.addVerified(answer.val.pieces);
    }
  }

  async #loadFromStore(manifest: Manifest): Promise<void> {
    const missing = this.#missing(manifest);
    for (let start = 0; start < missing.length; start += MAX_CONCURRENT_READS) {
      const digests = missing.slice(start, start + MAX_CONCURRENT_READS);
      // Reading in small batches leaves part of the store's read rate to other clients.
      // eslint-disable-next-line no-await-in-loop
      const loaded = await Promise.all(digests.map((digest) => this.#readPiece(digest)));
      if (loaded.includes(false)) return;
    }
  }

  async #readPiece(digest: string): Promise<boolean> {
    const found = await this.sources.store.read(pieceKey(digest));
    const parsed = found.ok ? documentsSchema.safeParse(found.val.value) : undefined;
    if (!parsed?.success) return false;
    this.#pieces.set(digest, parsed.data);
    return true;
  }
}
