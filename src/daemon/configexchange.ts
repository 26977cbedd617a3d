/** Exchanges revisions with other daemons: announcements, queries and their answers. */
import { performance } from 'node:perf_hooks';

import {
  applyDelta,
  diffManifests,
  outagePeers,
  EMPTY_MANIFEST,
  announcementTargets,
} from '../config/index.js';
import { instanceOf } from '../kernel/index.js';
import { MAX_PIECES_PER_ANSWER } from './pieceloader.js';

import type {
  Manifest,
  ManifestDelta,
  PeerRevision,
  Piece,
  DaemonLocation,
} from '../config/index.js';
import type { InstanceName } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { ConfigContext, ConfigTask } from './configtask.js';

/** Longest wait for a peer's answer, in milliseconds. */
const ASK_TIMEOUT_MS = 400;

/** Age of the last confirmation above which another source is asked, in milliseconds. */
const MAX_CONFIRMED_AGE_MS = 2_000;

/** Most changed pieces that an announcement contains; above that, it contains none. */
const MAX_ANNOUNCED_PIECES = 8;

/** Daemons of each data centre that a new daemon asks during an outage of the store. */
const OUTAGE_PEERS_PER_DATA_CENTRE = 4;

/** Daemons that are asked concurrently for the revision they have in force. */
const MAX_CONCURRENT_ROLLOUT_REQUESTS = 64;

/** The revision of one daemon, as operators see it. */
export interface RolloutView {
  readonly instance: InstanceName;
  readonly dataCentre: string;
  /** Revision in force; null if the daemon did not answer. */
  readonly revision: number | null;
}

/** Answer of a peer about its configuration. */
export type RevisionInForce = PeerMessageOf<'revision-in-force'>;

/** Exchanges revisions between this daemon and its peers. */
export class ConfigExchange {
  /**
   * Creates the exchange and registers the handlers for queries of peers.
   * @param ctx - identity and peers
   * @param config - configuration in force
   */
  constructor(
    private readonly ctx: ConfigContext,
    private readonly config: ConfigTask,
  ) {
    const { network } = ctx;
    network.handle('ask-revision', () => this.#revisionInForce());
    network.handle('ask-manifest', () => ({
      type: 'manifest-in-force',
      manifest: config.current?.manifest ?? null,
    }));
    network.handle('ask-pieces', ({ digests }) => {
      const asked = new Set(digests.slice(0, MAX_PIECES_PER_ANSWER));
      const refs = config.current?.manifest.pieces ?? [];
      return {
        type: 'pieces',
        pieces: config.held(refs.filter(({ digest }) => asked.has(digest))),
      };
    });
    network.handle('announce-revision', async ({ delta, pieces }, from) => {
      await this.#handleAnnouncement(instanceOf(from), delta, pieces);
      return this.#revisionInForce();
    });
  }

  /** Name and data centre of this daemon. */
  get location(): DaemonLocation {
    return { self: instanceOf(this.ctx.self), dataCentre: this.ctx.dataCentre };
  }

  /**
   * Announces a revision that has just come into force to the child daemons in the announcement
   * tree.
   * @param previous - manifest that was in force before; undefined for the first revision
   * @param manifest - manifest in force
   */
  announce(previous: Manifest | undefined, manifest: Manifest): void {
    const delta = diffManifests(previous ?? EMPTY_MANIFEST, manifest);
    const pieces =
      delta.changed.length <= MAX_ANNOUNCED_PIECES ? this.config.held(delta.changed) : [];
    announcementTargets(this.location, this.ctx.network.peers()).forEach((to) => {
      // A daemon that misses the announcement finds the revision with its next poll.
      void this.ctx.network.request({
        to,
        body: { type: 'announce-revision', delta, pieces },
        reply: 'revision-in-force',
        timeoutMs: ASK_TIMEOUT_MS,
      });
    });
  }

  /**
   * Asks a peer for its revision and applies the revision if it is newer. The peer's confirmation
   * that the store has no later revision then holds for this daemon too.
   * @param to - the peer
   * @returns whether the last confirmation is at most MAX_CONFIRMED_AGE_MS old
   */
  async syncWith(to: InstanceName): Promise<boolean> {
    const askedAt = performance.now();
    const answer = await this.askRevision(to);
    if (!answer) return false;
    const { revision, confirmedAgeMs } = answer;
    if (revision > (this.config.current?.revision ?? 0) && !(await this.#pullFrom(to)))
      return false;
    if (confirmedAgeMs !== undefined) this.config.confirm(askedAt - confirmedAgeMs);
    return this.config.confirmedAgeMs < MAX_CONFIRMED_AGE_MS;
  }

  /**
   * Asks a peer for its revision.
   * @param to - the peer
   * @returns its answer; undefined if it did not answer
   */
  async askRevision(to: InstanceName): Promise<RevisionInForce | undefined> {
    const answer = await this.ctx.network.request({
      to,
      body: { type: 'ask-revision' },
      reply: 'revision-in-force',
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return answer.ok ? answer.val : undefined;
  }

  /**
   * Asks every live daemon for its revision.
   * @returns one entry per daemon, this one first
   */
  async rollout(): Promise<readonly RolloutView[]> {
    const { self, dataCentre } = this.location;
    const revision = this.config.current?.revision ?? 0;
    const views: RolloutView[] = [{ instance: self, dataCentre, revision }];
    const live = this.ctx.network.peers().filter(({ state }) => state === 'live');
    for (let start = 0; start < live.length; start += MAX_CONCURRENT_ROLLOUT_REQUESTS) {
      const group = live.slice(start, start + MAX_CONCURRENT_ROLLOUT_REQUESTS);
      // Groups are asked one after another, so that a large fleet does not answer all at once.
      // eslint-disable-next-line no-await-in-loop
      const answers = await Promise.all(group.map(({ name }) => this.askRevision(name)));
      group.forEach(({ name, dataCentre: centre }, index) => {
        const found = answers[index]?.revision ?? null;
        views.push({ instance: name, dataCentre: centre, revision: found });
      });
    }
    return views;
  }

  /**
   * Asks a few daemons of each data centre for their revision.
   * @returns the answers that arrived in time
   */
  async askOutagePeers(): Promise<readonly PeerRevision[]> {
    const names = outagePeers(this.ctx.network.peers(), OUTAGE_PEERS_PER_DATA_CENTRE);
    const answers = await Promise.all(
      names.map(async (peer) => ({ peer, answer: await this.askRevision(peer) })),
    );
    return answers.flatMap(({ peer, answer }) =>
      answer ? [{ peer, revision: answer.revision }] : [],
    );
  }

  /**
   * Asks a peer for its manifest.
   * @param to - the peer
   * @returns the manifest; undefined if the peer did not answer or has no revision
   */
  async askManifest(to: InstanceName): Promise<Manifest | undefined> {
    const answer = await this.ctx.network.request({
      to,
      body: { type: 'ask-manifest' },
      reply: 'manifest-in-force',
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return (answer.ok ? answer.val.manifest : null) ?? undefined;
  }

  #revisionInForce(): RevisionInForce {
    const { confirmedAgeMs } = this.config;
    return {
      type: 'revision-in-force',
      revision: this.config.current?.revision ?? 0,
      ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
    };
  }

  async #pullFrom(from: InstanceName): Promise<boolean> {
    const manifest = await this.askManifest(from);
    return manifest !== undefined && this.config.apply(manifest, from);
  }

  async #handleAnnouncement(
    from: InstanceName,
    delta: ManifestDelta,
    pieces: readonly Piece[],
  ): Promise<void> {
    const { current } = this.config;
    // A new daemon ignores announcements until it has loaded a first revision itself.
    if (!current || delta.header.revision <= current.revision) return;
    const manifest = applyDelta(current.manifest, delta);
    if (manifest) await this.config.apply(manifest, from, pieces);
    else await this.#pullFrom(from);
  }
}
