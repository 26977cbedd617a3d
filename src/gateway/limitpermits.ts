/** Asks the steward of an upstream that names a limit or is cold for permits, and grants permits as the steward. */
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

/** The same for a cold upstream, whose requests are counted in each second. */
const COLD_PERMIT_VALID_MS = 150;

/** Time from the start of this daemon, or the end of one before it, after which no other one counts as the first. */
const ESTABLISHED_MS = 4_000;

/** Interval at which the list of daemons is compared with that of before, in milliseconds. */
const DEPARTURE_INTERVAL_MS = 500;

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

  /** When daemons were noticed to be no longer registered, in milliseconds. */
  readonly #departures = new Map<string, number>();

  #members: { readonly names: ReadonlySet<string>; readonly at: number };

  /** Renewal of contact with other daemons that is under way. */
  #renewal: Promise<void> | undefined;

  readonly #startedAt: number;

  readonly #denialLines = new LineLimit(DENIAL_LINES, DENIAL_PERIOD_MS);

  readonly #own: string;

  /**
   * Registers the handler for requests of other daemons.
   * @param cfg - dependencies
   */
  constructor(private readonly cfg: LimitPermitsConfig) {
    this.#own = instanceOf(cfg.self);
    this.#startedAt = cfg.clock.now();
    this.#members = { names: new Set(cfg.daemons()), at: this.#startedAt };
    cfg.network.handle('limitAsked', (ask, from) => this.#answer(ask, instanceOf(from)));
  }

  /**
   * Asks for a permit for a request to an upstream that names a limit or is cold.
   * @param upstream - the upstream
   * @returns time until which the request may be sent, in milliseconds; undefined if it may not be sent now
   */
  async acquire(upstream: UpstreamIncarnation): Promise<number | undefined> {
    const { limits, metrics, clock } = this.cfg;
    const askedAt = clock.now();
    const isCold = limits.coldOf(upstream, askedAt) !== undefined;
    limits.countAsking(upstream, 1);
    const decision = await this.#ask(upstream).finally(() => limits.countAsking(upstream, -1));
    metrics.permits.inc({ end: decision.isPermitted ? 'granted' : 'denied' });
    if (decision.isPermitted) return askedAt + (isCold ? COLD_PERMIT_VALID_MS : PERMIT_VALID_MS);
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
      if (steward === this.#own) {
        // eslint-disable-next-line no-await-in-loop
        await this.#renewContact(ranking, upstream);
        return this.#decide(upstream, this.#own);
      }
      // eslint-disable-next-line no-await-in-loop
      const reply = await this.#request(steward, upstream, true);
      if (reply) return reply;
    }
    return { isPermitted: false, waitMs: UNANSWERED_HOLD_MS };
  }

  /** Finds out whether this daemon is cut off before it decides on a cold upstream by itself. */
  #renewContact(ranking: readonly string[], upstream: UpstreamIncarnation): Promise<void> {
    const now = this.cfg.clock.now();
    if (!this.cfg.limits.coldOf(upstream, now)) return Promise.resolve();
    const names = this.#reach.takeRenewals(ranking, this.#own, now);
    if (names.length > 0) {
      const replies = names.map((name) => this.#request(name, upstream, false));
      const renewal = Promise.race([
        new Promise<void>((resolve) => {
          replies.forEach(async (reply) => {
            if (await reply) resolve();
          });
        }),
        Promise.all(replies).then(() => undefined),
      ]);
      this.#renewal = renewal.finally(() => {
        this.#renewal = undefined;
      });
    }
    return this.#renewal ?? Promise.resolve();
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
    const cold = this.#cold(upstream);
    const replied = await network.request({
      to,
      body: {
        type: 'limitAsked',
        upstream: { id, startedAt, address },
        wantsPermit,
        ...(observed && { observed }),
        ...(cold && { cold }),
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
    this.#merge(upstream, replied.val, to);
    return replied.val;
  }

  #answer(ask: Ask, from: string): Reply {
    const { upstream, wantsPermit } = ask;
    this.#reach.noteAsked(this.cfg.clock.now());
    this.#merge(upstream, ask, from);
    if (wantsPermit) this.#probe(this.#ranking(upstream.id), upstream);
    const decision = wantsPermit
      ? this.#decide(upstream, from, ask.cold)
      : { isPermitted: false, waitMs: 0 };
    const observed = this.#observed(upstream);
    const cold = this.#cold(upstream);
    return {
      type: 'limitAnswered',
      ...decision,
      ...(observed && { observed }),
      ...(cold && { cold }),
    };
  }

  /** Decides on a permit; a daemon that suspects that the upstream is cold is told as if it was. */
  #decide(upstream: UpstreamIncarnation, asker: string, suspected?: Ask['cold']): PermitDecision {
    const { limits, clock, random } = this.cfg;
    const now = clock.now();
    const known = limits.allowanceOf(upstream, now);
    if (!known && !suspected) return { isPermitted: true, waitMs: 0 };
    const isCold = known?.isCold === true || suspected !== undefined;
    const most = Number.POSITIVE_INFINITY;
    const limit = Math.min(known?.perSecond ?? most, suspected?.perSecond ?? most);
    const ranking = this.#ranking(upstream.id);
    const role = this.#reach.roleOf(ranking, this.#own, now, isCold);
    const key = incarnationKey(upstream);
    this.#recordRole(upstream, role, ranking);
    const isEstablished = isCold && this.#isEstablished(upstream.id, now);
    const daemons = ranking.length;
    const query = { upstream: key, asker, limit, isCold, isEstablished, role, daemons };
    return this.#steward.decide(query, now, random());
  }

  /** Whether this daemon has run for long, and so have those that would be the steward before it been gone. */
  #isEstablished(upstream: string, now: number): boolean {
    if (now - this.#startedAt < ESTABLISHED_MS) return false;
    const gone = [...this.#departures].filter(([, at]) => now - at < ESTABLISHED_MS);
    return rendezvous(upstream, [this.#own, ...gone.map(([name]) => name)])[0] === this.#own;
  }

  #noteDepartures(daemons: readonly string[], now: number): void {
    if (now - this.#members.at < DEPARTURE_INTERVAL_MS) return;
    const names = new Set(daemons);
    this.#members.names.forEach((name) => {
      if (!names.has(name)) this.#departures.set(name, now);
    });
    this.#departures.forEach((at, name) => {
      if (names.has(name) || now - at >= ESTABLISHED_MS) this.#departures.delete(name);
    });
    this.#members = { names, at: now };
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

  #cold(upstream: UpstreamIncarnation): Ask['cold'] {
    const now = this.cfg.clock.now();
    const cold = this.cfg.limits.coldOf(upstream, now);
    return cold && { perSecond: cold.perSecond, leftMs: Math.max(0, cold.knownUntil - now) };
  }

  #merge(
    upstream: UpstreamIncarnation,
    { observed, cold }: Pick<Ask, 'observed' | 'cold'>,
    source: string,
  ): void {
    const { limits, clock } = this.cfg;
    const now = clock.now();
    if (observed)
      this.observe(upstream, { limit: observed.limit, at: now - observed.ageMs }, source);
    if (!cold || cold.leftMs === 0) return;
    const known = limits.coldOf(upstream, now);
    const knownUntil = Math.max(now + cold.leftMs, known?.knownUntil ?? now);
    const until = Math.max(knownUntil, known?.until ?? now);
    limits.setCold(upstream, { perSecond: cold.perSecond, until, knownUntil }, now);
  }

  /** Names of all daemons, the preferred steward of an upstream first. */
  #ranking(upstream: string): readonly string[] {
    const now = this.cfg.clock.now();
    const found = this.#rankings.get(upstream);
    if (found && found.expiresAt > now) return found.names;
    const daemons = this.cfg.daemons();
    this.#noteDepartures(daemons, now);
    const names = rendezvous(upstream, [...new Set([...daemons, this.#own])]);
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
    const now = clock.now();
    const { perSecond = 0, isCold = false } = limits.allowanceOf(upstream, now) ?? {};
    const facts = { waitMs: Math.round(waitMs), limitPerSecond: perSecond, isCold, suppressed };
    recorder.record('permitDenied', { upstream: upstream.id, facts });
  }
}
