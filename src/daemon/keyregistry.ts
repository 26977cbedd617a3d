/**
 * Registry of idempotency keys; the record of each key is stored at two daemons chosen by
 * rendezvous hashing.
 */
import { instanceOf, rendezvous } from '../kernel/index.js';
import { UNSEEN_KEY, KeyTable, keyId, newestRecord } from '../request/index.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { PeerMessage, PeerNetwork } from '../link/index.js';
import type { KeyAttempt, KeyFindings, KeyName, KeyRecord, KeyState } from '../request/index.js';

/** Number of daemons that store the record of a key. */
const KEY_REPLICAS = 2;

/**
 * Number of daemons queried for a key: one more than store it, so that the record is still found
 * after a daemon has joined or left the instance list.
 */
const KEY_QUERY_TARGETS = 3;

/** Longest wait for an answer about a key, in milliseconds. */
const KEY_REQUEST_TIMEOUT_MS = 250;

/** Maximum number of records in one handover message. */
const HANDOVER_BATCH_RECORDS = 1_000;

/** Registers attempts under idempotency keys and answers queries of other daemons. */
export class KeyRegistry {
  readonly #table = new KeyTable();

  /** Keys with an attempt running at this daemon. */
  readonly #running = new Set<string>();

  /**
   * Creates the registry and registers its message handlers.
   * @param self - own incarnation
   * @param network - links to the other daemons
   */
  constructor(
    private readonly self: Incarnation,
    private readonly network: PeerNetwork,
  ) {
    this.#answerPeers();
  }

  /** Number of key records at this daemon. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Registers an attempt before its request is served, unless an attempt with the key is running at
   * this daemon.
   * @param name - workspace and key
   * @param digest - digest of the request body
   * @returns the earlier attempt, if any, whether it is still running, and whether enough daemons
   *   answered to rule out an unknown earlier attempt
   */
  async begin(name: KeyName, digest: string): Promise<KeyFindings> {
    const attempt: KeyAttempt = { ...name, digest, owner: this.self, at: Date.now() };
    if (this.#running.has(keyId(name))) {
      const earlier = this.#table.find(name);
      if (earlier) return { earlier, certain: true, running: true };
    }
    const targets = this.#rankedDaemons(name, KEY_QUERY_TARGETS);
    const answers = await Promise.all(
      targets.map((target, index) =>
        index < KEY_REPLICAS ? this.#beginAt(target, attempt) : this.#queryAt(target, name),
      ),
    );
    const findings = this.#findings(answers);
    const { earlier } = findings;
    if (earlier?.state !== 'running') return findings;
    return { ...findings, running: await this.#isOwnerRunning(earlier) };
  }

  /**
   * Looks up a key without registering an attempt.
   * @param name - workspace and key
   * @returns the known attempt, if any, and whether enough daemons answered to rule out an unknown
   *   attempt
   */
  async query(name: KeyName): Promise<KeyFindings> {
    const targets = this.#rankedDaemons(name, KEY_QUERY_TARGETS);
    const answers = await Promise.all(targets.map((target) => this.#queryAt(target, name)));
    return this.#findings(answers);
  }

  /**
   * Marks an attempt as running at this daemon.
   * @param name - workspace and key
   */
  markRunning(name: KeyName): void {
    this.#running.add(keyId(name));
  }

  /**
   * Marks an attempt as no longer running at this daemon.
   * @param name - workspace and key
   */
  markEnded(name: KeyName): void {
    this.#running.delete(keyId(name));
  }

  /**
   * Records the progress of an attempt of this daemon.
   * @param name - workspace and key
   * @param state - new state
   * @param upstream - upstream that the attempt was dispatched to; null if unchanged
   */
  async recordProgress(name: KeyName, state: KeyState, upstream: string | null): Promise<void> {
    const progress = { ...name, owner: this.self, state, upstream };
    await this.#updateReplicas(name, { type: 'key-note', ...progress }, () =>
      this.#table.recordProgress(progress),
    );
  }

  /**
   * Removes an attempt of this daemon that was not dispatched to an upstream.
   * @param name - workspace and key
   * @param earlier - record to restore; null for none
   */
  async withdraw(name: KeyName, earlier: KeyRecord | null): Promise<void> {
    const body: PeerMessage = { type: 'key-withdraw', ...name, owner: this.self, earlier };
    await this.#updateReplicas(name, body, () => this.#table.withdraw(name, this.self, earlier));
  }

  /** Sends every record to the daemons that will store it once this one has stopped. */
  async handOver(): Promise<void> {
    const ownName = instanceOf(this.self);
    const others = this.#live().filter((name) => name !== ownName);
    const batches = new Map<InstanceName, KeyRecord[]>();
    this.#table.list().forEach((record) => {
      rendezvous(keyId(record), others)
        .slice(0, KEY_REPLICAS)
        .forEach((replica) => batches.set(replica, [...(batches.get(replica) ?? []), record]));
    });
    await Promise.all([...batches].map(([replica, records]) => this.#handOverTo(replica, records)));
  }

  async #handOverTo(to: InstanceName, records: readonly KeyRecord[]): Promise<void> {
    for (let start = 0; start < records.length; start += HANDOVER_BATCH_RECORDS) {
      const batch = records.slice(start, start + HANDOVER_BATCH_RECORDS);
      const body: PeerMessage = { type: 'key-handover', records: batch };
      // Batches are sent one by one to keep the send queue of the link short.
      // eslint-disable-next-line no-await-in-loop
      await this.network.request({
        to,
        body,
        reply: 'key-noted',
        timeoutMs: KEY_REQUEST_TIMEOUT_MS,
      });
    }
  }

  #live(): readonly InstanceName[] {
    const peers = this.network.peers().filter(({ state }) => state === 'live');
    return [instanceOf(this.self), ...peers.map(({ name }) => name)];
  }

  #rankedDaemons(name: KeyName, count: number): readonly InstanceName[] {
    return rendezvous(keyId(name), this.#live()).slice(0, count);
  }

  /**
   * Merges the answers. If fewer queries failed than daemons store a key, at least one of these
   * daemons has answered, so the result is certain.
   */
  #findings(answers: readonly (KeyRecord | null | undefined)[]): KeyFindings {
    const known = answers.filter((answer) => answer !== undefined);
    const missing = answers.length - known.length;
    const certain = missing < Math.min(KEY_REPLICAS, answers.length);
    return { ...UNSEEN_KEY, earlier: newestRecord(known), certain };
  }

  async #beginAt(target: InstanceName, attempt: KeyAttempt): Promise<KeyRecord | null | undefined> {
    if (target === instanceOf(this.self)) return this.#table.begin(attempt);
    return this.#ask(target, { type: 'key-begin', ...attempt });
  }

  async #queryAt(target: InstanceName, name: KeyName): Promise<KeyRecord | null | undefined> {
    if (target === instanceOf(this.self)) return this.#table.find(name);
    const { workspace, key } = name;
    return this.#ask(target, { type: 'key-query', workspace, key });
  }

  async #ask(to: InstanceName, body: PeerMessage): Promise<KeyRecord | null | undefined> {
    const answer = await this.network.request({
      to,
      body,
      reply: 'key-known',
      timeoutMs: KEY_REQUEST_TIMEOUT_MS,
    });
    return answer.ok ? answer.val.record : undefined;
  }

  /**
   * Whether the owner still runs the attempt. An owner that does not answer counts as stopped, so
   * that another attempt may run: such an owner could not deliver the answer of its own attempt
   * either.
   */
  async #isOwnerRunning(record: KeyRecord): Promise<boolean> {
    if (record.owner === this.self) return this.#running.has(keyId(record));
    const { workspace, key } = record;
    const answer = await this.network.request({
      to: instanceOf(record.owner),
      body: { type: 'key-running', workspace, key },
      reply: 'key-runs',
      timeoutMs: KEY_REQUEST_TIMEOUT_MS,
    });
    return answer.ok && answer.val.running;
  }

  async #updateReplicas(name: KeyName, body: PeerMessage, applyLocally: () => void): Promise<void> {
    const ownName = instanceOf(this.self);
    const timeoutMs = KEY_REQUEST_TIMEOUT_MS;
    await Promise.all(
      this.#rankedDaemons(name, KEY_REPLICAS).map(async (replica) => {
        if (replica === ownName) applyLocally();
        else await this.network.request({ to: replica, body, reply: 'key-noted', timeoutMs });
      }),
    );
  }

  #answerPeers(): void {
    const noted = { type: 'key-noted' } as const;
    const { network } = this;
    network.handle('key-begin', ({ workspace, key, digest, owner, at }) => ({
      type: 'key-known',
      record: this.#table.begin({ workspace, key, digest, owner, at }),
    }));
    network.handle('key-query', (name) => ({
      type: 'key-known',
      record: this.#table.find(name),
    }));
    network.handle('key-note', (progress) => {
      this.#table.recordProgress(progress);
      return noted;
    });
    network.handle('key-withdraw', ({ workspace, key, owner, earlier }) => {
      this.#table.withdraw({ workspace, key }, owner, earlier);
      return noted;
    });
    network.handle('key-handover', ({ records }) => {
      this.#table.merge(records);
      return noted;
    });
    network.handle('key-running', (name) => ({
      type: 'key-runs',
      running: this.#running.has(keyId(name)),
    }));
  }
}
