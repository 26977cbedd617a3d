/** Passes revisions between daemons: announcements, questions and their answers. */
import { performance } from 'node:perf_hooks';

import { applyDelta, diffManifests, elders, EMPTY_MANIFEST, listenersOf } from '../config/index.js';
import { instanceOf } from '../kernel/index.js';
import { MAX_PIECES_PER_ANSWER } from './pieceloader.js';

import type { Manifest, ManifestDelta, PeerRevision, Piece, SpreadPlace } from '../config/index.js';
import type { InstanceName } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { ConfigContext, ConfigTask } from './configtask.js';

/** Longest wait for the answer of a peer, in milliseconds. */
const ASK_TIMEOUT_MS = 400;

/** Age at which a confirmation is so old that another source is asked, in milliseconds. */
const MAX_CONFIRMED_AGE_MS = 2_000;

/** Most changed pieces that go along with an announcement. */
const MAX_ANNOUNCED_PIECES = 8;

/** Daemons of each data centre that a fresh daemon asks during an outage. */
const OUTAGE_PEERS_PER_DATA_CENTRE = 4;

/** Daemons that are asked at once for the state of a publication. */
const MAX_CONCURRENT_ROLLOUT_REQUESTS = 64;

/** The revision of one daemon, as operators see it. */
export interface RolloutView {
  readonly instance: InstanceName;
  readonly dataCentre: string;
  /** Revision in force; null if the daemon does not answer. */
  readonly revision: number | null;
}

/** What a peer says about its configuration. */
export type RevisionInForce = PeerMessageOf<'revision-in-force'>;

/** Owns the exchange of revisions of one daemon. */
export class ConfigExchange {
  /**
   * Creates the exchange and answers the questions of peers.
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

  /** Where this daemon stands. */
  get place(): SpreadPlace {
    return { self: instanceOf(this.ctx.self), dataCentre: this.ctx.dataCentre };
  }

  /**
   * Tells the next daemons of a revision that has just come into force here.
   * @param previous - manifest that was in force before
   * @param manifest - manifest in force
   */
  announce(previous: Manifest | undefined, manifest: Manifest): void {
    const delta = diffManifests(previous ?? EMPTY_MANIFEST, manifest);
    const pieces =
      delta.changed.length <= MAX_ANNOUNCED_PIECES ? this.config.held(delta.changed) : [];
    listenersOf(this.place, this.ctx.network.peers()).forEach((to) => {
      // A daemon that does not hear it finds out when it asks by itself.
      void this.ctx.network.request({
        to,
        body: { type: 'announce-revision', delta, pieces },
        reply: 'revision-in-force',
        timeoutMs: ASK_TIMEOUT_MS,
      });
    });
  }

  /**
   * Asks a peer for its revision, takes it over if it is newer, and with it the peer's
   * knowledge that the store has no later one.
   * @param to - the peer
   * @returns whether the configuration has been confirmed lately
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
   * @returns its answer; undefined without one
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
   * @returns a line for each, this one first
   */
  async rollout(): Promise<readonly RolloutView[]> {
    const { self, dataCentre } = this.place;
    const revision = this.config.current?.revision ?? 0;
    const views: RolloutView[] = [{ instance: self, dataCentre, revision }];
    const live = this.ctx.network.peers().filter(({ state }) => state === 'live');
    for (let start = 0; start < live.length; start += MAX_CONCURRENT_ROLLOUT_REQUESTS) {
      const group = live.slice(start, start + MAX_CONCURRENT_ROLLOUT_REQUESTS);
      // Groups follow one another, so that a large fleet does not answer all at once.
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
   * Asks some daemons of each data centre for their revision.
   * @returns the answers that came
   */
  async askOutagePeers(): Promise<readonly PeerRevision[]> {
    const names = elders(this.ctx.network.peers(), OUTAGE_PEERS_PER_DATA_CENTRE);
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
   * @returns the manifest; undefined without an answer or a revision
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
    // A fresh daemon finds the revision in force by itself before it listens.
    if (!current || delta.header.revision <= current.revision) return;
    const manifest = applyDelta(current.manifest, delta);
    if (manifest) await this.config.apply(manifest, from, pieces);
    else await this.#pullFrom(from);
  }
}
