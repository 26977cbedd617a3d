/**
 * Copies of written shards at peers. In a store that may come back from an older copy, units are used only once a peer
 * knows of their draw; a daemon without reachable peers uses a bounded part.
 */
import { rendezvous } from '../kernel/index.js';

import type { AllowanceShard } from '../allowance/index.js';
import type { InstanceName } from '../kernel/index.js';
import type { AllowanceContext } from './allowancecontext.js';

/** Peers that keep a copy of each written shard. */
const COPIES = 2;

/** Maximum number of peers that are asked to keep a copy. */
const MAX_ASKED = 6;

/** Timeout of one copy, in milliseconds: several round trips between data centres. */
const COPY_TIMEOUT_MS = 60;

/** Time for which a peer that did not answer is asked last, in milliseconds. */
const SILENT_PEER_MS = 5_000;

/** Draw that no peer has confirmed. */
interface UncopiedDraw {
  readonly at: number;
  readonly units: number;
}

/** Sends copies to peers, and counts the units that are used without one. */
export class AllowanceCopies {
  readonly #silentUntil = new Map<InstanceName, number>();

  readonly #uncopied = new Map<string, readonly UncopiedDraw[]>();

  /**
   * Creates the task; it sends nothing by itself.
   * @param ctx - links to peers
   * @param copyAgeMs - age of the oldest copy that the store comes back from, in milliseconds
   */
  constructor(
    private readonly ctx: AllowanceContext,
    private readonly copyAgeMs: number,
  ) {}

  /**
   * Copies a written shard to peers.
   * @param shard - number of the shard
   * @param value - its content
   * @returns whether a peer keeps it, or there is no peer
   */
  async copy(shard: number, value: AllowanceShard): Promise<boolean> {
    const names = this.#order(shard);
    if (names.length === 0) return true;
    let kept = 0;
    for (let asked = 0; asked < MAX_ASKED && kept < COPIES; asked += COPIES - kept) {
      const next = names.slice(asked, Math.min(asked + COPIES - kept, MAX_ASKED));
      if (next.length === 0) break;
      // Further peers are asked only in the place of those that do not answer.
      // eslint-disable-next-line no-await-in-loop
      const answers = await Promise.all(next.map((name) => this.#send(name, shard, value)));
      kept += answers.filter((isKept) => isKept).length;
    }
    return kept > 0;
  }

  /**
   * Takes units of a draw that no peer keeps a copy of.
   * @param workspace - workspace whose units were drawn
   * @param units - units that were drawn
   * @param limit - units that may be used without a copy within the age of a copy
   * @returns units that may be used
   */
  takeUncopied(workspace: string, units: number, limit: number): number {
    const now = this.ctx.clock.now();
    const recent = (this.#uncopied.get(workspace) ?? []).filter(
      ({ at }) => now - at < this.copyAgeMs,
    );
    const used = recent.reduce((sum, draw) => sum + draw.units, 0);
    const taken = Math.max(0, Math.min(units, Math.floor(limit) - used));
    this.#uncopied.set(workspace, taken > 0 ? [...recent, { at: now, units: taken }] : recent);
    return taken;
  }

  #order(shard: number): readonly InstanceName[] {
    const now = this.ctx.clock.now();
    const names = this.ctx.network.peers().map(({ name }) => name);
    const ranked = rendezvous(`allowances/${shard}/${this.ctx.self}`, names);
    const isSilent = (name: InstanceName): boolean => now < (this.#silentUntil.get(name) ?? 0);
    return [...ranked.filter((name) => !isSilent(name)), ...ranked.filter(isSilent)];
  }

  async #send(to: InstanceName, shard: number, value: AllowanceShard): Promise<boolean> {
    const reply = await this.ctx.network.request({
      to,
      body: { type: 'shardCopied', shard, value },
      reply: 'shardKept',
      timeoutMs: COPY_TIMEOUT_MS,
    });
    if (reply.err) this.#silentUntil.set(to, this.ctx.clock.now() + SILENT_PEER_MS);
    return reply.ok && reply.val.isKept;
  }
}
