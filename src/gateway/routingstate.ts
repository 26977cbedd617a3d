/** Follows the current configuration and the registered upstreams in the store. */
import { DEFAULT_WATCH_WAIT_MS, Follower, revisionIn } from '../store/index.js';
import { LineLimit } from '../telemetry/index.js';
import { EvacuationWatch } from './evacuationwatch.js';
import { RouteTable } from './routetable.js';
import { UpstreamRegistry } from './upstreams.js';

import type { Clock } from '../kernel/index.js';
import type { ObjectChange, Snapshot, StoreError } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { PlatformAdapter } from './adapter.js';
import type { GatewayMetrics } from './metrics.js';
import type { StartNews } from './startnews.js';

/**
 * Time since the last answer of the store to a follower after which the store counts as unavailable, as a multiple of the
 * time for which it holds a watch while nothing changes.
 */
const STORE_TIMEOUT_WATCHES = 1.5;

/**
 * Pause of a watch after a batch of changes, as a share of the time in which a change must be in force. The changes of a
 * starting fleet, of a release or of a series of configurations then arrive in few calls; each of them would otherwise wake
 * the watch of each daemon. The rest of the time is left for the call, for a slow store and for requests on the way.
 */
const BATCH_SHARE = 0.4;

/** The same pause if that time is not known, in milliseconds. */
const BATCH_DELAY_MS = 400;

/** Longest pause, in milliseconds: a new upstream should be of use soon. */
const MAX_BATCH_DELAY_MS = 1_200;

/** Times in which changes in the store must be in force, in milliseconds; null or missing if not known. */
export interface ChangeBounds {
  /** For the configuration. */
  readonly applyMs?: number | null | undefined;
  /** For an upstream that leaves. */
  readonly drainMs?: number | null | undefined;
}

/**
 * Computes the pause of a watch after a batch of changes.
 * @param boundMs - time in which a change must be in force, in milliseconds; null or undefined if it is not known
 * @returns milliseconds
 */
export function batchDelayMs(boundMs: number | null | undefined): number {
  if (typeof boundMs !== 'number') return BATCH_DELAY_MS;
  return Math.min(MAX_BATCH_DELAY_MS, boundMs * BATCH_SHARE);
}

/** Maximum number of log lines on unreadable entries of upstreams in one period. */
const UNREADABLE_LINES = 10;

/** Period of the limit on these log lines, in milliseconds. */
const UNREADABLE_PERIOD_MS = 10_000;

function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

/**
 * Longest time for which a daemon that starts waits until the store shows the configuration that others have, in
 * milliseconds: by then the operator has written it again.
 */
const AWAIT_MS = 5_000;

/** Time after a daemon has started in which a listing may be from an older copy, in milliseconds. */
const NEWS_MS = 10_000;

/** Maximum number of upstreams that a log line names. */
const MAX_LOGGED_UPSTREAMS = 20;

/** Keeps the current route table and the registered upstreams. */
export class RoutingState {
  readonly upstreams = new UpstreamRegistry();

  /** Evacuations of data centres; undefined if they are not followed. */
  readonly evacuationWatch: EvacuationWatch | undefined;

  readonly #followers: readonly Follower[];

  readonly #unreadableLines = new LineLimit(UNREADABLE_LINES, UNREADABLE_PERIOD_MS);

  #table: RouteTable | undefined;

  #hasUpstreams = false;

  /** Rises of the store's era up to the last listing of the upstreams. */
  #listedRises: number;

  /** Time until which a listing may show what other daemons know to be outdated, in milliseconds. */
  #newsUntil = 0;

  /** Version of the configuration that other daemons have, and until when this one waits for it, in milliseconds. */
  #awaited = { version: 0, until: 0 };

  /** Whether other daemons are still to be asked; until then this one is not loaded. */
  isAwaitingNews = false;

  /** Outdated version that was logged last. */
  #outdated = 0;

  /** Number of followers whose last call to the store failed. */
  #lostFollowers = 0;

  /** Called when a new version of the configuration has been applied. */
  onConfigurationChange: () => void = () => undefined;

  /**
   * Creates the followers; nothing is read before "start".
   * @param adapter - store and decoders
   * @param recorder - log and timeline
   * @param clock - time
   * @param watchMs - longest time for which the store holds one watch, in milliseconds
   * @param evacuation - time in which an evacuation must be in force, in milliseconds, and metrics; undefined to follow
   * no evacuations
   * @param bounds - times in which changes must be in force
   */
  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly recorder: Recorder,
    private readonly clock: Clock,
    private readonly watchMs = DEFAULT_WATCH_WAIT_MS,
    evacuation?: { readonly withinMs: number; readonly metrics: GatewayMetrics },
    { applyMs, drainMs }: ChangeBounds = {},
  ) {
    const { configurationKey, upstreamsPrefix, store } = adapter;
    this.#listedRises = store.era.rises;
    const configurationPrefix = configurationKey.slice(0, configurationKey.indexOf('/') + 1);
    this.#followers = [
      this.#follow(configurationPrefix, batchDelayMs(applyMs), {
        onSnapshot: ({ objects }) => this.#applyNewest(objects),
        onChanges: (changes) => this.#applyNewest(changes),
      }),
      this.#follow(upstreamsPrefix, batchDelayMs(drainMs), {
        onSnapshot: (snapshot) => this.#replaceUpstreams(snapshot),
        onChanges: (changes) => this.#changeUpstreams(changes),
      }),
    ];
    if (!evacuation) return;
    const { withinMs: evacuateMs, metrics } = evacuation;
    const prefix = adapter.evacuationsPrefix;
    const evacuationWatch = new EvacuationWatch({
      store: adapter.store,
      prefix,
      evacuateMs,
      watchMs,
      clock,
      recorder,
      metrics,
      random: Math.random,
      // They may have become cold meanwhile, and their entries say so only later.
      onEnded: (dataCentre) => this.upstreams.suspectCold(dataCentre, this.clock.now()),
      onLost: (err) => this.#onLost(prefix, err),
      onRegained: () => this.#onRegained(prefix),
    });
    this.evacuationWatch = evacuationWatch;
    this.#followers = [...this.#followers, evacuationWatch.follower];
    this.upstreams.isEvacuated = (dataCentre, now) => evacuationWatch.isEvacuated(dataCentre, now);
  }

  /** Starts to follow the store. */
  start(): void {
    this.#followers.forEach((follower) => {
      void follower.run();
    });
  }

  /** Stops following the store. */
  stop(): void {
    this.#followers.forEach((follower) => follower.stop());
    this.evacuationWatch?.stop();
  }

  /** Current routes and workspaces; undefined before the first configuration was applied. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether configuration, upstreams and evacuations are known. */
  get isLoaded(): boolean {
    const areEvacuationsKnown = this.evacuationWatch?.evacuations.isKnown ?? true;
    return (
      this.#table !== undefined &&
      this.#hasUpstreams &&
      areEvacuationsKnown &&
      !this.isAwaitingNews &&
      !this.#awaitsConfiguration
    );
  }

  /** What daemons that start are told. */
  get news(): StartNews {
    const now = this.clock.now();
    return {
      version: this.#table?.configuration.version ?? 0,
      left: this.upstreams.left(now),
      evacuations: this.evacuationWatch?.evacuations.awaited(now) ?? [],
    };
  }

  /**
   * Takes what other daemons know, at the start of this one.
   * @param news - what they know; undefined if none has replied
   */
  hear(news: StartNews | undefined): void {
    this.isAwaitingNews = false;
    if (!news) return;
    const now = this.clock.now();
    this.#newsUntil = now + NEWS_MS;
    this.#awaited = { version: news.version, until: now + AWAIT_MS };
    this.upstreams.hearLeft(news.left, now);
    this.evacuationWatch?.await(news.evacuations, now);
    const version = this.#table?.configuration.version ?? 0;
    if (version > 0 && version < news.version) {
      const facts = { version, awaited: news.version, atMostMs: AWAIT_MS };
      this.recorder.record('configAwaited', { facts });
    }
  }

  get #awaitsConfiguration(): boolean {
    const { version, until } = this.#awaited;
    return (this.#table?.configuration.version ?? 0) < version && this.clock.now() < until;
  }

  /** Whether the store has answered all followers recently, and the last call of none has failed. */
  get isStoreUp(): boolean {
    const now = this.clock.now();
    const isRecent = this.#followers.every(
      ({ lastAnswerAt }) => now - lastAnswerAt < this.watchMs * STORE_TIMEOUT_WATCHES,
    );
    return isRecent && this.#lostFollowers === 0;
  }

  #follow(
    prefix: string,
    delayMs: number,
    handlers: {
      readonly onSnapshot: (snapshot: Snapshot) => void;
      readonly onChanges: (changes: readonly ObjectChange[]) => void;
    },
  ): Follower {
    const events = {
      ...handlers,
      onLost: (err: StoreError) => this.#onLost(prefix, err),
      onRegained: () => this.#onRegained(prefix),
      onHandlerError: (err: unknown) => {
        this.recorder.record('storeHandlerFailed', { detail: String(err), facts: { prefix } });
      },
    };
    return new Follower(this.adapter.store, prefix, events, this.clock, this.watchMs, delayMs);
  }

  #onLost(prefix: string, { problem, text }: StoreError): void {
    this.#lostFollowers += 1;
    this.upstreams.noteDisturbance(this.clock.now());
    this.recorder.record('storeLost', { detail: text, facts: { prefix, problem } });
  }

  #onRegained(prefix: string): void {
    this.#lostFollowers -= 1;
    // Entries that were removed while the store did not answer are reported only now that the watch of the
    // upstreams works again. The time in which a removal counts as a possible expiry therefore starts again.
    if (prefix === this.adapter.upstreamsPrefix) this.upstreams.noteDisturbance(this.clock.now());
    this.recorder.record('storeRegained', { facts: { prefix } });
  }

  /**
   * Applies the newest version that can be decoded. Older ones are skipped, as decoding every version of a
   * burst would take seconds.
   */
  #applyNewest(changes: readonly ObjectChange[]): void {
    const versions = changes
      .filter(({ key }) => key === this.adapter.configurationKey)
      .sort((a, b) => b.version - a.version);
    versions.some((change) => this.#applyConfiguration(change));
  }

  /** Decodes and applies one version; returns whether it could be decoded. */
  #applyConfiguration({ version, value }: ObjectChange): boolean {
    const decoded = this.adapter.decodeConfiguration(value);
    if (decoded.err) {
      const kept = this.#table?.configuration.version ?? 0;
      const facts = { revision: revisionIn(version), kept };
      this.recorder.record('configRejected', { detail: decoded.val, facts });
      return false;
    }
    const next = decoded.val;
    const before = this.#table?.configuration.version ?? 0;
    // A stale read must not restore an older version.
    if (next.version <= before) {
      this.#recordOutdated(next.version, before);
      return true;
    }
    this.#table = new RouteTable(next);
    this.upstreams.warmups.configure(next.services, this.upstreams.all(), this.clock.now());
    const facts = {
      version: next.version,
      before,
      revision: revisionIn(version),
      routes: next.routes.length,
    };
    this.recorder.record('configApplied', { facts });
    this.onConfigurationChange();
    return true;
  }

  #replaceUpstreams({ objects, position }: Snapshot): void {
    const records = objects.flatMap((object) => {
      const decoded = this.adapter.decodeUpstream(nameOf(object.key), object.value);
      if (decoded.ok) return [decoded.val];
      this.#recordUnreadable(object, decoded.val);
      return [];
    });
    const now = this.clock.now();
    const { rises } = this.adapter.store.era;
    if (rises !== this.#listedRises || now < this.#newsUntil) {
      const doubted = this.upstreams.replaceFromCopy(records, now);
      if (doubted.length > 0) this.#recordDoubted(doubted);
    } else this.upstreams.replace(records, now);
    this.#listedRises = rises;
    this.#hasUpstreams = true;
    const unreadable = objects.length - records.length;
    const facts = { listed: records.length, unreadable, revision: revisionIn(position) };
    this.recorder.record('upstreamsChanged', { facts });
  }

  #changeUpstreams(changes: readonly ObjectChange[]): void {
    const now = this.clock.now();
    changes.forEach((change) => {
      const id = nameOf(change.key);
      if (change.value === null || change.value === undefined) {
        this.upstreams.unlist(id, now);
        this.#recordChange(id, change.version, 'gone');
        return;
      }
      const decoded = this.adapter.decodeUpstream(id, change.value);
      if (decoded.err) {
        this.upstreams.unlist(id, now);
        this.#recordUnreadable(change, decoded.val);
        return;
      }
      this.upstreams.list(decoded.val, now);
      this.#recordChange(
        id,
        change.version,
        this.upstreams.isLeaving(decoded.val) ? 'leaving' : 'serving',
      );
    });
  }

  /** Logs once that the store shows an older version than the one in force. */
  #recordOutdated(shown: number, kept: number): void {
    if (shown === kept || shown === this.#outdated) return;
    this.#outdated = shown;
    this.recorder.record('configOutdated', { facts: { shown, kept } });
  }

  #recordDoubted(ids: readonly string[]): void {
    const named = ids.slice(0, MAX_LOGGED_UPSTREAMS).join(' ');
    this.recorder.record('upstreamDoubted', { detail: named, facts: { upstreams: ids.length } });
  }

  #recordChange(upstream: string, version: number, state: string): void {
    this.recorder.record('upstreamsChanged', {
      upstream,
      facts: { revision: revisionIn(version), state },
    });
  }

  #recordUnreadable({ key, version }: ObjectChange, detail: string): void {
    const suppressed = this.#unreadableLines.admit(this.clock.now());
    if (suppressed === undefined) return;
    const facts = { revision: revisionIn(version), outcome: 'not used', suppressed };
    this.recorder.record('upstreamUnreadable', { upstream: key, detail, facts });
  }
}
