/**
 * Shards over a restore of the store: asks the other daemons what they know, and makes the shard of the new era from it.
 */
import {
  EMPTY_SHARD,
  giveUpUnheard,
  hasGrantedUnits,
  hearDaemons,
  isLater,
  isResolved,
  knowledgeStamp,
  laterShard,
  netSpent,
  nextState,
  openShard,
  rowGrant,
  uncopiedShare,
  parseAllowances,
} from '../allowance/index.js';
import { demandAt } from '../budget/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { AllowanceLine, AllowanceShard, ShardHearing } from '../allowance/index.js';
import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerMessageOf } from '../link/index.js';
import type { AllowanceContext } from './allowancecontext.js';
import type { Holdings } from './holdings.js';

/** Prefix of the keys of all shard objects. */
const PREFIX = 'allowances/';

/** Timeout of a question to another daemon, in milliseconds. */
const ASK_TIMEOUT_MS = 300;

/**
 * Time after which an instance that no daemon has heard in the new era is given up, in milliseconds: longer than a sound
 * daemon falls silent.
 */
const GIVE_UP_MS = 4_000;

/** Delay between the daemons that make the shard of a new era, in milliseconds, and the largest number of delays. */
const TURN_MS = 200;
const MAX_TURNS = 5;

/** Knows the latest state of each shard and makes the shards of a new era. */
export class AllowanceEras {
  /** Latest known state of each shard, read, written or copied here by a peer. */
  readonly #known = new Map<number, AllowanceShard>();

  /** Time at which a shard was first seen without an object, or with unheard daemons, in the current era. */
  readonly #waitingSince = new Map<number, number>();

  /** Shards in which this daemon has written a row in any era. */
  readonly #joinedShards = new Set<number>();

  /** Earlier incarnations of this instance whose rows were closed here. */
  readonly #closed = new Set<Incarnation>();

  readonly #firstEra: number;

  /**
   * Registers the handlers for copies and questions of peers.
   * @param ctx - store, era and links to peers
   * @param holdings - local balances of the units that the rows grant
   * @param shardOf - returns the shard of a workspace
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly holdings: Holdings,
    private readonly shardOf: (workspace: string) => number,
  ) {
    this.#firstEra = this.current ?? 0;
    ctx.network.handle('shardCopied', (message) => this.#keep(message));
    ctx.network.handle('shardAsked', (message) => this.#tell(message));
  }

  /** Era of the store; undefined for a store without eras. */
  get current(): number | undefined {
    return this.ctx.store.era.current;
  }

  /** Whether this daemon ran in a former era. */
  get hasLived(): boolean {
    return this.#firstEra < (this.current ?? 0);
  }

  /** Fraction of the paid units that this daemon may use without a copy at a peer. */
  get uncopiedShare(): number {
    return uncopiedShare(this.ctx.holders.fleetSize);
  }

  /** Forgets the waits of the former era. */
  rise(): void {
    this.#waitingSince.clear();
  }

  /**
   * Returns the key of a shard object. Each era has keys of its own, which a late write of a former era cannot reach.
   * @param shard - number of the shard
   * @returns key of its object
   */
  keyOf(shard: number): string {
    const { current } = this;
    return current === undefined
      ? `${PREFIX}shard-${shard}`
      : `${PREFIX}era-${current}-shard-${shard}`;
  }

  /**
   * Remembers a state that was read or written.
   * @param shard - number of the shard
   * @param value - its content
   */
  note(shard: number, value: AllowanceShard): void {
    if (!value.recovery) return;
    const known = laterShard(this.#known.get(shard), value);
    if (known) this.#known.set(shard, known);
  }

  /**
   * Remembers that this daemon has a row.
   * @param shard - number of the shard
   * @param closed - earlier incarnations of the instance whose rows it closed
   */
  joined(shard: number, closed: readonly Incarnation[]): void {
    this.#joinedShards.add(shard);
    closed.forEach((holder) => this.#closed.add(holder));
  }

  /**
   * Returns whether this daemon wrote a row in any era.
   * @param shard - number of the shard
   * @returns whether it has units there that the current era must show
   */
  hasJoined(shard: number): boolean {
    return this.#joinedShards.has(shard);
  }

  /**
   * Returns whether daemons of the shard are still unheard.
   * @param shard - number of the shard
   * @returns whether it was found without an object or with unheard daemons in this era
   */
  isWaiting(shard: number): boolean {
    return this.#waitingSince.has(shard);
  }

  /**
   * Returns what this daemon says about a shard in a new era.
   * @param shard - number of the shard
   * @returns its row, and what it knows
   */
  hearing(shard: number): ShardHearing {
    const isJoined = this.#joinedShards.has(shard);
    return {
      holder: this.ctx.self,
      hasLived: this.hasLived,
      lines: isJoined ? this.#lines(shard) : undefined,
      closed: [...this.#closed],
      known: this.#known.get(shard),
    };
  }

  /**
   * Makes a stored shard ready for the current era: opens it from the latest known state where it does not exist, and
   * hears the daemons that are unheard.
   * @param shard - number of the shard
   * @param version - version of its object, 0 where it does not exist
   * @param stored - its content
   * @returns the content to go on from; undefined while another daemon is to open the shard, or the store fails
   */
  async prepare(
    shard: number,
    version: number,
    stored: AllowanceShard,
  ): Promise<AllowanceShard | undefined> {
    const { current } = this;
    if (current === undefined) return stored;
    if (version > 0 && isResolved(stored)) {
      this.#waitingSince.delete(shard);
      return stored;
    }
    const now = this.ctx.clock.now();
    const since = this.#waitingSince.get(shard) ?? now;
    this.#waitingSince.set(shard, since);
    if (version === 0 && !this.#isTurn(shard, now - since)) return undefined;
    const opened = version > 0 ? stored : await this.#open(shard, current);
    if (!opened) return undefined;
    const heard = await this.#hear(shard, current, opened);
    const isPast = now - since >= GIVE_UP_MS;
    if (isResolved(heard) || !isPast) return heard;
    return this.#giveUp(shard, heard);
  }

  /**
   * Numbers the content of the next write.
   * @param planned - new content
   * @param stored - content that it replaces
   * @returns the new content
   */
  number(planned: AllowanceShard, stored: AllowanceShard): AllowanceShard {
    return nextState(planned, stored.recovery?.stamp.sequence ?? 0);
  }

  /** Whether it is the turn of this daemon to open a shard; daemons that start have no former era to wait for. */
  #isTurn(shard: number, waitedMs: number): boolean {
    if (!this.hasLived) return true;
    const own = instanceOf(this.ctx.self);
    const order = rendezvous(`${PREFIX}${shard}`, [own, ...this.#peers]);
    return waitedMs >= Math.min(order.indexOf(own), MAX_TURNS) * TURN_MS;
  }

  get #peers(): readonly InstanceName[] {
    return this.ctx.network.peers().map(({ name }) => name);
  }

  async #open(shard: number, era: number): Promise<AllowanceShard | undefined> {
    const restored = await this.#restored(shard, era);
    if (!restored) return undefined;
    const known = laterShard(this.#known.get(shard), restored);
    const instances = [instanceOf(this.ctx.self), ...this.#peers];
    const opened = openShard(era, known, instances);
    const { base, unheard } = opened.recovery ?? { base: undefined, unheard: [] };
    const facts = { shard, era, baseEra: base?.era ?? 0, baseState: base?.sequence ?? 0 };
    this.ctx.metrics?.allowanceEras.inc({ change: 'opened' });
    this.ctx.recorder.record('allowanceEraOpened', {
      facts: { ...facts, rows: opened.rows.length, unheard: unheard.length },
    });
    return opened;
  }

  /** Reads the latest object of a former era; undefined if the store fails. */
  async #restored(shard: number, era: number): Promise<AllowanceShard | undefined> {
    const { store, recorder } = this.ctx;
    const listed = await store.list(PREFIX);
    if (listed.err) {
      const { key, problem, text } = listed.val;
      recorder.record('allowanceDelayed', { detail: text, facts: { key, problem } });
      return undefined;
    }
    const former = listed.val
      .flatMap(({ key }) => {
        const [, number, of] = /^allowances\/(?:era-(\d+)-)?shard-(\d+)$/u.exec(key) ?? [];
        return Number(of) === shard ? [{ key, era: Number(number ?? 0) }] : [];
      })
      .filter((object) => object.era < era)
      .sort((a, b) => b.era - a.era)[0];
    if (!former) return EMPTY_SHARD;
    const found = await store.read(former.key);
    if (found.ok) return this.#parse(former.key, found.val.value);
    const { key, problem, text } = found.val;
    recorder.record('allowanceDelayed', { detail: text, facts: { key, problem } });
    return undefined;
  }

  #parse(key: string, value: unknown): AllowanceShard | undefined {
    try {
      return parseAllowances(value);
    } catch (err) {
      const detail = `not an allowance shard, so its units cannot be drawn; restore the object: ${String(err)}`;
      this.ctx.recorder.record('allowanceDelayed', { detail, facts: { key, problem: 'invalid' } });
      return undefined;
    }
  }

  /** Asks the unheard daemons what they know, and adds what this one knows. */
  async #hear(shard: number, era: number, stored: AllowanceShard): Promise<AllowanceShard> {
    const own = instanceOf(this.ctx.self);
    const unheard = stored.recovery?.unheard ?? [];
    const latest = laterShard(this.#known.get(shard), stored) ?? EMPTY_SHARD;
    const known = knowledgeStamp(latest);
    const answers = await Promise.all(
      unheard.filter((name) => name !== own).map((to) => this.#ask(to, { shard, era, known })),
    );
    const hearings = [this.hearing(shard), ...answers.flatMap((answer) => answer ?? [])];
    return hearDaemons(stored, hearings, this.uncopiedShare);
  }

  async #ask(
    to: InstanceName,
    asked: Omit<PeerMessageOf<'shardAsked'>, 'type'>,
  ): Promise<ShardHearing | undefined> {
    const reply = await this.ctx.network.request({
      to,
      body: { type: 'shardAsked', ...asked },
      reply: 'shardTold',
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return reply.ok ? reply.val : undefined;
  }

  #giveUp(shard: number, heard: AllowanceShard): AllowanceShard {
    const unheard = heard.recovery?.unheard ?? [];
    const given = giveUpUnheard(heard, this.uncopiedShare);
    const facts = { shard, instances: unheard.length, share: this.uncopiedShare };
    this.ctx.metrics?.allowanceEras.inc({ change: 'given-up' }, unheard.length);
    this.ctx.recorder.record('allowanceUncertain', {
      detail: unheard.slice(0, 8).join(' '),
      facts,
    });
    return given;
  }

  #lines(shard: number): readonly AllowanceLine[] {
    const now = this.ctx.clock.now();
    return this.holdings.workspaces
      .filter((name) => this.shardOf(name) === shard && hasGrantedUnits(this.holdings.of(name)))
      .map((workspace) => {
        const { escrow, demand } = this.holdings.of(workspace);
        const granted = rowGrant(escrow);
        const spent = Math.min(granted, netSpent(escrow));
        return { workspace, granted, spent, rate: demandAt(demand, now).rate };
      });
  }

  #keep({ shard, value }: PeerMessageOf<'shardCopied'>): PeerMessageOf<'shardKept'> {
    const era = value.recovery?.stamp.era ?? 0;
    this.ctx.store.era.observe(era);
    const isKept = era === this.current;
    if (isKept) this.note(shard, value);
    return { type: 'shardKept', isKept };
  }

  #tell({ shard, era, known }: PeerMessageOf<'shardAsked'>): PeerMessageOf<'shardTold'> {
    this.ctx.store.era.observe(era);
    if (era !== this.current) throw new Error(`era ${era} of the store is over`);
    if (this.holdings.isClosed) throw new Error('this daemon is stopping and its rows are closed');
    const { known: own, lines, ...told } = this.hearing(shard);
    const isNews = own && isLater(knowledgeStamp(own), known);
    return {
      type: 'shardTold',
      ...told,
      ...(lines && { lines }),
      ...(isNews && { known: own }),
    };
  }
}
