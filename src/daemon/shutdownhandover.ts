/**
 * Settles the charge lines of this daemon when it stops, and delivers the lines that stopping peers
 * handed over to it.
 */
import { setTimeout as delay } from 'node:timers/promises';

import { rendezvous } from '../kernel/index.js';
import { deliverLines } from './delivery.js';

import type { Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { HandOver } from '../plan/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Charges } from './charges.js';

/** Interval between deliveries of received charge lines, in milliseconds. */
const DELIVERY_INTERVAL_MS = 1_000;

/** Delay before a stopping daemon tries the store again, in milliseconds. */
const STORE_RETRY_DELAY_MS = 500;

/** Longest wait for a peer to accept a handover, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 1_000;

/**
 * Number of peers that receive the same lines, so that no line is lost if one of these peers stops.
 */
const HANDOVER_RECEIVERS = 2;

/** Key of an object that is read to check that the store answers. */
const PROBE_KEY = 'probe';

/**
 * Maximum number of failed attempts to settle all lines while the store is reachable; the daemon
 * then stops anyway, and other daemons recover its shard entries.
 */
const MAX_FAILED_ATTEMPTS = 6;

/** Dependencies of the handover. */
export interface ShutdownHandoverContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly charges: Charges;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
}

/**
 * Delivers the lines that stopping peers handed over. When this daemon stops, settles its lines, or
 * hands them over if the store is unreachable.
 */
export class ShutdownHandover {
  #received: readonly HandOver[] = [];

  #timer: NodeJS.Timeout | undefined;

  #delivering: Promise<void> | undefined;

  #isClosed = false;

  /**
   * Creates the task and registers the handler for handovers of stopping peers.
   * @param ctx - store, charges and peers
   */
  constructor(private readonly ctx: ShutdownHandoverContext) {
    ctx.network.handle('hand-over', (handOver, from) => {
      if (this.#isClosed) return { type: 'handed-over', accepted: false };
      this.#received = [
        ...this.#received.filter(({ holder }) => holder !== handOver.holder),
        handOver,
      ];
      ctx.recorder.record('handoverTaken', { peer: from });
      return { type: 'handed-over', accepted: true };
    });
  }

  /** Starts the periodic delivery of received lines. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.#deliverReceived();
    }, DELIVERY_INTERVAL_MS);
  }

  /**
   * Settles all lines in the store before the daemon stops. During an outage of the store the lines
   * are handed to peers, but the daemon keeps running: it stores copies of other daemons, which
   * need the store to record another replica in place of this one.
   */
  async run(): Promise<void> {
    const { charges, store, recorder } = this.ctx;
    this.#isClosed = true;
    clearInterval(this.#timer);
    for (let failedAttempts = 0; failedAttempts < MAX_FAILED_ATTEMPTS;) {
      /* eslint-disable no-await-in-loop */
      const isSettled = await charges.leave();
      await this.#deliverReceived();
      if (isSettled && this.#received.length === 0) break;
      const probe = await store.read(PROBE_KEY);
      if (probe.ok) failedAttempts += 1;
      else if (charges.pending.length + this.#received.length > 0) await this.#handOverToPeers();
      recorder.record('handoverDelayed', { detail: probe.ok ? 'refused' : probe.val.text });
      await delay(STORE_RETRY_DELAY_MS);
      /* eslint-enable no-await-in-loop */
    }
    recorder.record('handoverDone');
  }

  async #handOverToPeers(): Promise<void> {
    const { self, charges, network } = this.ctx;
    const own: HandOver = { type: 'hand-over', holder: self, charges: charges.pending };
    const peers = network.peers().filter(({ state }) => state === 'live');
    const names = peers.map(({ name }) => name);
    const order = rendezvous(self, names);
    let receivers = 0;
    for (let index = 0; index < order.length && receivers < HANDOVER_RECEIVERS; index += 1) {
      // Peers are asked one by one until enough of them have accepted.
      // eslint-disable-next-line no-await-in-loop
      if (await this.#offer(order[index] ?? '', [own, ...this.#received])) receivers += 1;
    }
  }

  async #offer(to: string, handOvers: readonly HandOver[]): Promise<boolean> {
    const answers = await Promise.all(
      handOvers.map((body) =>
        this.ctx.network.request({
          to,
          body,
          reply: 'handed-over',
          timeoutMs: HAND_OVER_TIMEOUT_MS,
        }),
      ),
    );
    return answers.every((answer) => answer.ok && answer.val.accepted);
  }

  #deliverReceived(): Promise<void> {
    this.#delivering ??= this.#deliverAll().finally(() => {
      this.#delivering = undefined;
    });
    return this.#delivering;
  }

  async #deliverAll(): Promise<void> {
    const handOvers = this.#received;
    const results = await Promise.all(handOvers.map((handOver) => this.#deliver(handOver)));
    const delivered = handOvers.filter((_, index) => results[index]);
    this.#received = this.#received.filter((handOver) => !delivered.includes(handOver));
    delivered.forEach(({ holder }) =>
      this.ctx.recorder.record('handoverDelivered', { peer: holder }),
    );
  }

  /**
   * Delivers lines on behalf of their holder. If the holder is fenced, they count as delivered,
   * since the recoverer delivers them.
   */
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
