/** Daemons that ask each other for permits for an upstream that names a limit, in simulated time. */
import { rendezvous, SECOND_MS } from '../src/kernel/index.js';
import { LimitSteward } from '../src/route/index.js';
import { PeerReach } from '../src/gateway/peerreach.js';
import { seededRandom } from './seed.js';

/** Time from a request for a permit until a daemon that cannot be reached counts as such, in milliseconds. */
const ASK_TIMEOUT_MS = 200;

/** Longest time from a request for a permit until its request is sent, in milliseconds. */
const PERMIT_VALID_MS = 300;

/** The same while the upstream is cold. */
const COLD_PERMIT_VALID_MS = 150;

/** Time from which a daemon that has run for long counts as established, in milliseconds. */
const ESTABLISHED_MS = 4_000;

/** Delay of one message, in milliseconds. */
const DELAY_MS = 2;

/** Number of daemons that are asked for one request. */
const MAX_TRIES = 3;

const UPSTREAM = 'u';

/** Change of the fleet. */
export interface FleetEvent {
  /** Time, in milliseconds. */
  readonly at: number;
  /** What happens to the daemon of a rank, counted from 0 for the preferred steward. */
  readonly rank: number;
  readonly does:
    'dies' | 'restarts' | 'freezes' | 'thaws' | 'joins' | 'loses-links' | 'regains-links';
}

/** Options of a simulation. */
export interface LimitFleetConfig {
  readonly daemons: number;
  /** Limit of the upstream, in requests per second. */
  readonly limit: number;
  /** Requests per second that callers send to all daemons together, and the number of daemons that they use. */
  readonly demand: number;
  readonly usedDaemons: number;
  readonly forMs: number;
  readonly events: readonly FleetEvent[];
  readonly seed: number;
  /** Whether the upstream is cold, which also counts the requests of daemons that are cut off; default false. */
  readonly isCold?: boolean;
  /** Time of the first request, in milliseconds; default 0. */
  readonly fromMs?: number;
}

/** What happened. */
export interface LimitFleetResult {
  /** When requests were sent to the upstream, by daemons that have their links unless it is cold, in milliseconds. */
  readonly sent: readonly number[];
  /** Number of messages that asked for a permit. */
  readonly asks: number;
}

interface Daemon {
  readonly name: string;
  steward: LimitSteward;
  reach: PeerReach;
  heldUntil: number;
  state: 'runs' | 'dead' | 'frozen' | 'cut';
  startedAt: number;
  /** Time from which each other daemon knows of it, in milliseconds. */
  knownFrom: number;
}

/** One simulation. */
export class LimitFleet {
  readonly #due = new Map<number, (() => void)[]>();

  readonly #random: () => number;

  readonly #daemons: readonly Daemon[];

  readonly #byName: ReadonlyMap<string, Daemon>;

  readonly #ranking: readonly string[];

  readonly #sent: number[] = [];

  #asks = 0;

  #now = 0;

  private constructor(private readonly cfg: LimitFleetConfig) {
    this.#random = seededRandom(cfg.seed);
    this.#daemons = Array.from({ length: cfg.daemons }, (_none, at) => ({
      name: `e${at}`,
      steward: new LimitSteward(),
      reach: new PeerReach(),
      heldUntil: 0,
      state: 'runs',
      startedAt: Number.NEGATIVE_INFINITY,
      knownFrom: 0,
    }));
    this.#byName = new Map(this.#daemons.map((daemon) => [daemon.name, daemon]));
    this.#ranking = rendezvous(UPSTREAM, [...this.#byName.keys()]);
  }

  /**
   * Runs a simulation.
   * @param cfg - options
   * @returns what happened
   */
  static run(cfg: LimitFleetConfig): LimitFleetResult {
    const fleet = new LimitFleet(cfg);
    cfg.events.forEach((event) => fleet.#prepare(event));
    for (; fleet.#now < cfg.forMs; fleet.#now += 1) {
      (fleet.#due.get(fleet.#now) ?? []).forEach((run) => run());
      fleet.#due.delete(fleet.#now);
      const isBusy = fleet.#now >= (cfg.fromMs ?? 0);
      if (isBusy && fleet.#random() < cfg.demand / SECOND_MS) fleet.#arrive();
    }
    return { sent: fleet.#sent.sort((a, b) => a - b), asks: fleet.#asks };
  }

  #at(time: number, run: () => void): void {
    const at = Math.max(this.#now + 1, Math.round(time));
    this.#due.set(at, [...(this.#due.get(at) ?? []), run]);
  }

  #prepare({ at, rank, does }: FleetEvent): void {
    const daemon = this.#byName.get(this.#ranking[rank] ?? '');
    if (!daemon) return;
    if (does === 'joins') daemon.knownFrom = at;
    if (does === 'joins') daemon.state = 'dead';
    const states = {
      dies: 'dead',
      restarts: 'runs',
      freezes: 'frozen',
      thaws: 'runs',
      joins: 'runs',
      'loses-links': 'cut',
      'regains-links': 'runs',
    } as const;
    this.#at(at, () => {
      daemon.state = states[does];
      if (does === 'joins') daemon.startedAt = this.#now;
      if (does !== 'restarts') return;
      daemon.startedAt = this.#now;
      daemon.steward = new LimitSteward();
      daemon.reach = new PeerReach();
    });
  }

  /** The ranking as a daemon knows it: it learns of a new daemon some time after the others. */
  #rankingOf(viewer: Daemon): readonly string[] {
    const lagMs = (this.#daemons.indexOf(viewer) % 4) * SECOND_MS;
    return this.#ranking.filter((name) => {
      const { knownFrom = 0 } = this.#byName.get(name) ?? {};
      return name === viewer.name || knownFrom === 0 || this.#now >= knownFrom + lagMs;
    });
  }

  #arrive(): void {
    const at = Math.floor(this.#random() * this.cfg.usedDaemons);
    const daemon = this.#byName.get(this.#ranking.at(-1 - at) ?? '');
    if (!daemon || daemon.state === 'dead' || daemon.state === 'frozen') return;
    if (daemon.heldUntil > this.#now) return;
    this.#ask(daemon, this.#now, 0);
  }

  #ask(asker: Daemon, askedAt: number, tries: number): void {
    const daemon = asker;
    const ranking = this.#rankingOf(daemon);
    const steward = this.#byName.get(daemon.reach.stewardOf(ranking, daemon.name));
    this.#probe(daemon);
    if (!steward) return;
    if (steward === daemon) {
      const decide = (): void => this.#apply(daemon, this.#decide(daemon, daemon), askedAt);
      if (!this.cfg.isCold || !this.#renew(daemon)) decide();
      else this.#at(this.#now + 2 * DELAY_MS + 1, decide);
      return;
    }
    this.#asks += 1;
    this.#at(this.#now + DELAY_MS, () => {
      if (!LimitFleet.#isLinked(daemon, steward)) {
        this.#at(this.#now + ASK_TIMEOUT_MS, () => {
          daemon.reach.noteFailure(steward.name, this.#now);
          if (tries + 1 < MAX_TRIES) this.#ask(daemon, askedAt, tries + 1);
          else daemon.heldUntil = this.#now + ASK_TIMEOUT_MS;
        });
        return;
      }
      steward.reach.noteAsked(this.#now);
      const decision = this.#decide(steward, daemon);
      this.#at(this.#now + DELAY_MS, () => {
        daemon.reach.noteReply(steward.name, this.#now);
        this.#apply(daemon, decision, askedAt);
      });
    });
  }

  static #isLinked(one: Daemon, other: Daemon): boolean {
    return one.state === 'runs' && other.state === 'runs';
  }

  #probe(prober: Daemon): void {
    const names = prober.reach.takeProbes(this.#rankingOf(prober), prober.name, this.#now);
    this.#reachOut(prober, names);
  }

  /** Renews the contact of the first daemon with others; returns whether there is something to wait for. */
  #renew(daemon: Daemon): boolean {
    const names = daemon.reach.takeRenewals(this.#rankingOf(daemon), daemon.name, this.#now);
    this.#reachOut(daemon, names);
    return names.length > 0;
  }

  #reachOut(prober: Daemon, names: readonly string[]): void {
    names.forEach((name) => {
      const peer = this.#byName.get(name);
      const isLinked = peer !== undefined && LimitFleet.#isLinked(prober, peer);
      this.#at(this.#now + (isLinked ? 2 * DELAY_MS : ASK_TIMEOUT_MS), () => {
        if (isLinked) prober.reach.noteReply(name, this.#now);
        else prober.reach.noteFailure(name, this.#now);
      });
    });
  }

  #decide(
    steward: Daemon,
    asker: Daemon,
  ): { readonly isPermitted: boolean; readonly waitMs: number } {
    const ranking = this.#rankingOf(steward);
    if (steward !== asker) this.#probe(steward);
    const query = {
      upstream: UPSTREAM,
      asker: asker.name,
      limit: this.cfg.limit,
      isCold: this.cfg.isCold ?? false,
      isEstablished: this.#now - steward.startedAt >= ESTABLISHED_MS,
      role: steward.reach.roleOf(ranking, steward.name, this.#now, this.cfg.isCold),
      daemons: ranking.length,
    };
    return steward.steward.decide(query, this.#now, this.#random());
  }

  #apply(
    asker: Daemon,
    { isPermitted, waitMs }: { readonly isPermitted: boolean; readonly waitMs: number },
    askedAt: number,
  ): void {
    const daemon = asker;
    const { isCold } = this.cfg;
    const isCounted = isCold || daemon.state !== 'cut';
    const sendAt = this.#now + this.#random() * 10;
    if (!isPermitted) daemon.heldUntil = this.#now + waitMs;
    else if (sendAt <= askedAt + (isCold ? COLD_PERMIT_VALID_MS : PERMIT_VALID_MS) && isCounted)
      this.#sent.push(sendAt);
  }
}
