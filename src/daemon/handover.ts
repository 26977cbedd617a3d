/** Ends a daemon's debts to the store, and keeps the charge lines that stopping peers leave. */
import { setTimeout as delay } from 'node:timers/promises';

import { rendezvous } from '../kernel/index.js';
import { deliverLines } from './delivery.js';

import type { Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { HandOver } from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Charges } from './charges.js';

/** Interval between deliveries of what was taken over, in milliseconds. */
const DELIVER_MS = 1_000;

/** Delay before a stopping daemon tries the store again, in milliseconds. */
const RETRY_MS = 500;

/** Longest wait for a peer that takes over, in milliseconds. */
const HAND_OVER_MS = 1_000;

/** Peers that take over the same lines, so that one of them may be lost. */
const HEIRS = 2;

/** Object that is read to find out whether the store answers. */
const PROBE_KEY = 'probe';

/** Attempts to leave while the store answers; what is left then is recovered by others. */
const MAX_REFUSALS = 6;

/** What the handover needs. */
export interface HandoverContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly charges: Charges;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/** Owns the lines that this daemon took over. */
export class Handover {
  #taken: readonly HandOver[] = [];

  #timer: NodeJS.Timeout | undefined;

  #delivering: Promise<void> | undefined;

  #closed = false;

  /**
   * Creates the task and answers peers that stop.
   * @param ctx - store, charges and peers
   */
  constructor(private readonly ctx: HandoverContext) {
    ctx.network.handle('hand-over', (debt, from) => {
      if (this.#closed) return { type: 'handed-over', accepted: false };
      this.#taken = [...this.#taken.filter(({ holder }) => holder !== debt.holder), debt];
      ctx.recorder.record('handoverTaken', { peer: from });
      return { type: 'handed-over', accepted: true };
    });
  }

  /** Begins to deliver at intervals what peers hand over. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.#deliverTaken();
    }, DELIVER_MS);
  }

  /**
   * Settles with the store. During an outage the lines go to peers, and the daemon stays: only the
   * store can name another backup for the daemons whose copies it keeps.
   */
  async run(): Promise<void> {
    const { charges, store, recorder } = this.ctx;
    this.#closed = true;
    clearInterval(this.#timer);
    for (let refusals = 0; refusals < MAX_REFUSALS;) {
      /* eslint-disable no-await-in-loop */
      const left = await charges.leave();
      await this.#deliverTaken();
      if (left && this.#taken.length === 0) break;
      const probe = await store.read(PROBE_KEY);
      if (probe.ok) refusals += 1;
      else if (charges.pending.length + this.#taken.length > 0) await this.#toPeers();
      recorder.record('handoverDelayed', { detail: probe.ok ? 'refused' : probe.val.text });
      await delay(RETRY_MS);
      /* eslint-enable no-await-in-loop */
    }
    recorder.record('handoverDone');
  }

  async #toPeers(): Promise<void> {
    const { self, charges, network } = this.ctx;
    const own: HandOver = { type: 'hand-over', holder: self, charges: charges.pending };
    const peers = network.peers().filter(({ state }) => state === 'live');
    const names = peers.map(({ name }) => name);
    const order = rendezvous(self, names);
    let heirs = 0;
    for (let index = 0; index < order.length && heirs < HEIRS; index += 1) {
      // The next peer is asked only if the one before did not take over.
      // eslint-disable-next-line no-await-in-loop
      if (await this.#offer(order[index] ?? '', [own, ...this.#taken])) heirs += 1;
    }
  }

  async #offer(to: string, debts: readonly HandOver[]): Promise<boolean> {
    const answers = await Promise.all(
      debts.map((body) =>
        this.ctx.network.request({ to, body, reply: 'handed-over', timeoutMs: HAND_OVER_MS }),
      ),
    );
    return answers.every((answer) => answer.ok && answer.val.accepted);
  }

  #deliverTaken(): Promise<void> {
    this.#delivering ??= this.#deliverAll().finally(() => {
      this.#delivering = undefined;
    });
    return this.#delivering;
  }

  async #deliverAll(): Promise<void> {
    const debts = this.#taken;
    const done = await Promise.all(debts.map((debt) => this.#deliver(debt)));
    const settled = debts.filter((_, index) => done[index]);
    this.#taken = this.#taken.filter((debt) => !settled.includes(debt));
    settled.forEach(({ holder }) =>
      this.ctx.recorder.record('handoverDelivered', { peer: holder }),
    );
  }

  /** Delivers in the holder's name; once a recoverer has fenced the holder, that one delivers. */
  async #deliver({ holder, charges }: HandOver): Promise<boolean> {
    const { store } = this.ctx;
    const answers = await Promise.all(
      charges.map(({ shard, settled, lines }) =>
        deliverLines(store, { shard, holder, by: holder, settled, lines }),
      ),
    );
    return answers.every(({ ok }) => ok);
  }
}
