/** Asks the steward of an upstream that names a limit for permits, and grants permits as the steward. */
import { instanceOf, MINUTE_MS, rendezvous } from '../kernel/index.js';
import { LimitSteward } from '../route/index.js';
import { LineLimit } from '../telemetry/index.js';
import { PeerReach } from './peerreach.js';
import { incarnationKey } from './upstreamsignals.js';

import type { Clock, Incarnation } from '../kernel/index.js';
import type { PeerMessageOf, PeerNetwork } from '../link/index.js';
import type { PermitDecision, StewardRole } from '../route/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';
import type { LimitObservation, UpstreamLimits } from './upstreamlimits.js';
import type { UpstreamIncarnation } from './upstreamsignals.js';

/** Timeout of a request for a permit, in milliseconds; a request of a caller waits for it. */
const ASK_TIMEOUT_MS = 200;

/** Time from a request for a permit until it expires, in milliseconds: late requests would add to those of later permits. */
const PERMIT_VALID_MS = 300;

/** Number of daemons that are asked before a permit counts as denied. */
const MAX_TRIES = 3;

/** Time for which no permit is asked for if no daemon has replied, in milliseconds. */
const UNANSWERED_HOLD_MS = 500;

/** Time for which a ranking of the daemons is kept, in milliseconds. */
const RANKING_TTL_MS = 1_000;

/** Time without a request for a permit after which the role of this daemon is forgotten, in milliseconds. */
const ROLE_MEMORY_MS = MINUTE_MS;

/** Maximum number of log lines on denials in one period, and the period in milliseconds. */
const DENIAL_LINES = 5;
const DENIAL_PERIOD_MS = 10_000;

type Ask = PeerMessageOf<'limitAsked'>;
type Reply = PeerMessageOf<'limitAnswered'>;

/** Dependencies of the permits. */
export interface LimitPermitsConfig {
  readonly self: Incarnation;
  readonly network: PeerNetwork;
  /** Names of the registered daemons; this one need not be among them. */
  readonly daemons: () => readonly string[];
  readonly limits: UpstreamLimits;
  readonly recorder: Recorder;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

interface Ranking {
  readonly names: readonly string[];
  readonly expiresAt: number;
}

/** Asks for permits and grants them. */
export class LimitPermits {
  readonly #steward = new LimitSteward();

  readonly #reach = new PeerReach();

  readonly #rankings = new Map<string, Ranking>();

  /** Last role of this daemon for each upstream for which it was asked, and when, in milliseconds. */
  readonly #roles = new Map<string, { readonly role: StewardRole; readonly at: number }>();

  readonly #denialLines = new LineLimit(DENIAL_LINES, DENIAL_PERIOD_MS);

  readonly #own: string;

  /**
   * Registers the handler for requests of other daemons.
   * @param cfg - dependencies
   */
  constructor(private readonly cfg: LimitPermitsConfig) {
    this.#own = instanceOf(cfg.self);
    cfg.network.handle('limitAsked', (ask, from) => this.#answer(ask, instanceOf(from)));
  }

  /**
   * Asks for a permit for a request to an upstream that names a limit.
   * @param upstream - the upstream
   * @returns time until which the request may be sent, in milliseconds; undefined if it may not be sent now
   */
  async acquire(upstream: UpstreamIncarnation): Promise<number | undefined> {
    const { limits, metrics, clock } = this.cfg;
    const askedAt = clock.now();
    limits.countAsking(upstream, 1);
    const decision = await this.#ask(upstream).finally(() => limits.countAsking(upstream, -1));
    metrics.permits.inc({ end: decision.isPermitted ? 'granted' : 'denied' });
    if (decision.isPermitted) return askedAt + PERMIT_VALID_MS;
    limits.hold(upstream, clock.now() + decision.waitMs);
    this.#recordDenial(upstream, decision);
    return undefined;
  }

  /**
   * Applies what an answer or another daemon says about the limit of an upstream, and logs what has changed.
   * @param upstream - the upstream
   * @param observation - its limit
   * @param source - "answer", or the daemon that has reported it
   */
  observe(upstream: UpstreamIncarnation, observation: LimitObservation, source = 'answer'): void {
    const { limits, metrics, recorder, clock } = this.cfg;
    const now = clock.now();
    const change = limits.observe(upstream, observation, now);
    if (!change) return;
    metrics.limitChanges.inc({ change });
    const { id, startedAt } = upstream;
    const facts = {
      change,
      source,
      startedAt,
      ageMs: Math.round(now - observation.at),
      ...(observation.limit !== undefined && { limitPerSecond: observation.limit }),
    };
    const event = change === 'ended' ? 'upstreamUnlimited' : 'upstreamLimited';
    recorder.record(event, { upstream: id, facts });
    // Daemons without requests to the upstream learn of it from the steward.
    if (source === 'answer') this.#share(upstream);
  }

  #share(upstream: UpstreamIncarnation): void {
    const steward = this.#reach.stewardOf(this.#ranking(upstream.id), this.#own);
    if (steward !== this.#own) void this.#request(steward, upstream, false);
  }

  async #ask(upstream: UpstreamIncarnation): Promise<PermitDecision> {
    const ranking = this.#ranking(upstream.id);
    this.#probe(ranking, upstream);
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const steward = this.#reach.stewardOf(ranking, this.#own);
      if (steward === this.#own) return this.#decide(upstream, this.#own);
      // eslint-disable-next-line no-await-in-loop
      const reply = await this.#request(steward, upstream, true);
      if (reply) return reply;
    }
    return { isPermitted: false, waitMs: UNANSWERED_HOLD_MS };
  }

  /** Sends a request to a daemon and applies what it reports; returns undefined if it does not reply. */
  async #request(
    to: string,
    upstream: UpstreamIncarnation,
    wantsPermit: boolean,
  ): Promise<Reply | undefined> {
    const { network, clock, metrics } = this.cfg;
    const { id, startedAt, address } = upstream;
    const observed = this.#observed(upstream);
    const replied = await network.request({
      to,
      body: {
        type: 'limitAsked',
        upstream: { id, startedAt, address },
        wantsPermit,
        ...(observed && { observed }),
      },
      reply: 'limitAnswered',
      timeoutMs: ASK_TIMEOUT_MS,
    });
    const now = clock.now();
    metrics.permitAsks.inc({ end: replied.ok ? 'answered' : 'unreachable' });
    if (replied.err) {
      this.#reach.noteFailure(to, now);
      return undefined;
    }
    this.#reach.noteReply(to, now);
    this.#merge(upstream, replied.val.observed, to);
    return replied.val;
  }

  #answer({ upstream, observed, wantsPermit }: Ask, from: string): Reply {
    this.#reach.noteAsked(this.cfg.clock.now());
    this.#merge(upstream, observed, from);
    if (wantsPermit) this.#probe(this.#ranking(upstream.id), upstream);
    const decision = wantsPermit ? this.#decide(upstream, from) : { isPermitted: false, waitMs: 0 };
    const known = this.#observed(upstream);
    return { type: 'limitAnswered', ...decision, ...(known && { observed: known }) };
  }

  #decide(upstream: UpstreamIncarnation, asker: string): PermitDecision {
    const { limits, clock, random } = this.cfg;
    const limit = limits.limitOf(upstream);
    if (limit === undefined) return { isPermitted: true, waitMs: 0 };
    const now = clock.now();
    const ranking = this.#ranking(upstream.id);
    const role = this.#reach.roleOf(ranking, this.#own, now);
    const key = incarnationKey(upstream);
    this.#recordRole(upstream, role, ranking);
    const query = { upstream: key, asker, limit, role, daemons: ranking.length };
    return this.#steward.decide(query, now, random());
  }

  /** Finds out in the background whether the daemons before the one that is asked can be reached again. */
  #probe(ranking: readonly string[], upstream: UpstreamIncarnation): void {
    this.#reach.takeProbes(ranking, this.#own, this.cfg.clock.now()).forEach((name) => {
      void this.#request(name, upstream, false);
    });
  }

  #observed(upstream: UpstreamIncarnation): Ask['observed'] {
    const known = this.cfg.limits.observationOf(upstream);
    if (!known) return undefined;
    const ageMs = Math.max(0, this.cfg.clock.now() - known.at);
    return { ageMs, ...(known.limit !== undefined && { limit: known.limit }) };
  }

  #merge(upstream: UpstreamIncarnation, observed: Ask['observed'], source: string): void {
    if (!observed) return;
    const { limit, ageMs } = observed;
    this.observe(upstream, { limit, at: this.cfg.clock.now() - ageMs }, source);
  }

  /** Names of all daemons, the preferred steward of an upstream first. */
  #ranking(upstream: string): readonly string[] {
    const now = this.cfg.clock.now();
    const found = this.#rankings.get(upstream);
    if (found && found.expiresAt > now) return found.names;
    const names = rendezvous(upstream, [...new Set([...this.cfg.daemons(), this.#own])]);
    this.#rankings.forEach(({ expiresAt }, id) => {
      if (expiresAt <= now) this.#rankings.delete(id);
    });
    this.#rankings.set(upstream, { names, expiresAt: now + RANKING_TTL_MS });
    return names;
  }

  #recordRole(upstream: UpstreamIncarnation, role: StewardRole, ranking: readonly string[]): void {
    const now = this.cfg.clock.now();
    const before = this.#roles.get(upstream.id)?.role;
    this.#roles.set(upstream.id, { role, at: now });
    if (before === role) return;
    this.#roles.forEach(({ at }, id) => {
      if (now - at > ROLE_MEMORY_MS) this.#roles.delete(id);
    });
    const facts = {
      role,
      before: before ?? 'none',
      rank: ranking.indexOf(this.#own) + 1,
      daemons: ranking.length,
    };
    this.cfg.recorder.record('limitSteward', { upstream: upstream.id, facts });
  }

  #recordDenial(upstream: UpstreamIncarnation, { waitMs }: PermitDecision): void {
    const { recorder, clock, limits } = this.cfg;
    const suppressed = this.#denialLines.admit(clock.now());
    if (suppressed === undefined) return;
    const limitPerSecond = limits.limitOf(upstream) ?? 0;
    const facts = { waitMs: Math.round(waitMs), limitPerSecond, suppressed };
    recorder.record('permitDenied', { upstream: upstream.id, facts });
  }
}
