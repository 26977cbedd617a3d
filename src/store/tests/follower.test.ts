import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { Err, Ok, SteadyClock } from '../../kernel/index.js';
import { Follower } from '../follower.js';
import { SnapshotStore } from '../snapshotstore.js';

import type { Result } from '../../kernel/index.js';
import type { StoredObject, StoreError, WatchBatch } from '../objectstore.js';
import type { Snapshot } from '../snapshotstore.js';

/** Result of the next call to a scripted store. */
type Answer = 'snapshot' | 'changes' | 'nothing' | 'lost' | 'compacted' | 'oversized';

/** Result of every call after the script has ended. */
const PENDING = new Promise<never>(() => {});

/** Store that returns scripted results in order; calls after the last one stay pending. */
class ScriptedStore extends SnapshotStore {
  readonly calls: string[] = [];

  constructor(private readonly answers: Answer[]) {
    super();
  }

  override async snapshot(): Promise<Result<Snapshot, StoreError>> {
    return this.#next('list', (): Snapshot => ({ objects: [], position: 5 }));
  }

  override async watch(
    _prefix: string,
    position: number,
    waitMs: number,
  ): Promise<Result<WatchBatch, StoreError>> {
    const isChanged = this.answers[0] === 'changes';
    const changes = isChanged ? [{ key: 'k/a', version: 6, value: 1 }] : [];
    return this.#next(`watch ${position} ${waitMs}`, () => ({
      changes,
      position: isChanged ? 6 : position,
    }));
  }

  override async read(key: string): Promise<Result<StoredObject, StoreError>> {
    return Err({ problem: 'refused', key, text: 'no result is scripted for this call' });
  }

  override async write(key: string): Promise<Result<number, StoreError>> {
    return Err({ problem: 'refused', key, text: 'no result is scripted for this call' });
  }

  override async remove(key: string): Promise<Result<number, StoreError>> {
    return Err({ problem: 'refused', key, text: 'no result is scripted for this call' });
  }

  override async list(prefix: string): Promise<Result<never, StoreError>> {
    return Err({ problem: 'refused', key: prefix, text: 'no result is scripted for this call' });
  }

  async #next<Value>(call: string, value: () => Value): Promise<Result<Value, StoreError>> {
    this.calls.push(call);
    const answer = this.answers.shift();
    if (answer === undefined) return PENDING;
    if (answer === 'lost' || answer === 'compacted' || answer === 'oversized') {
      return Err({ problem: answer, key: 'k/', text: 'prepared' });
    }
    return Ok(value());
  }
}

interface Row {
  readonly title: string;
  readonly answers: readonly Answer[];
  readonly calls: readonly string[];
  readonly events: readonly string[];
}

const ROWS: readonly Row[] = [
  {
    title: 'lists once, then watches from the position of the listing',
    answers: ['snapshot', 'changes', 'nothing'],
    calls: ['list', 'watch 5 900', 'watch 6 900', 'watch 6 900'],
    events: ['snapshot', 'changes'],
  },
  {
    title: 'after a failure, watches from the same position without waiting',
    answers: ['snapshot', 'lost', 'lost', 'changes'],
    calls: ['list', 'watch 5 900', 'watch 5 1', 'watch 5 1', 'watch 6 900'],
    events: ['snapshot', 'lost', 'regained', 'changes'],
  },
  {
    title: 'lists again when the history was compacted',
    answers: ['snapshot', 'compacted', 'snapshot'],
    calls: ['list', 'watch 5 900', 'list', 'watch 5 900'],
    events: ['snapshot', 'lost', 'regained', 'snapshot'],
  },
  {
    title: 'lists again after an oversized watch, without reporting an outage',
    answers: ['snapshot', 'oversized', 'snapshot'],
    calls: ['list', 'watch 5 900', 'list', 'watch 5 900'],
    events: ['snapshot', 'snapshot'],
  },
  {
    title: 'retries the first listing until the store answers',
    answers: ['lost', 'lost', 'snapshot'],
    calls: ['list', 'list', 'list', 'watch 5 900'],
    events: ['lost', 'regained', 'snapshot'],
  },
];

ROWS.forEach(({ title, answers, calls, events }) => {
  test(title, async (t) => {
    const store = new ScriptedStore([...answers]);
    const seen: string[] = [];
    const recordEvent = (event: string) => (): void => {
      seen.push(event);
    };
    const handlers = {
      onSnapshot: recordEvent('snapshot'),
      onChanges: recordEvent('changes'),
      onLost: recordEvent('lost'),
      onRegained: recordEvent('regained'),
      onHandlerError: recordEvent('handler error'),
    };
    const follower = new Follower(store, 'k/', handlers, new SteadyClock(), 900);
    void follower.run();
    while (store.calls.length < calls.length) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    follower.stop();
    t.deepEqual(store.calls, calls);
    t.deepEqual(seen, events);
  });
});

test('waits for the batch delay before the watch that follows changes', async (t) => {
  const store = new ScriptedStore(['snapshot', 'changes', 'nothing']);
  const noop = (): void => undefined;
  const handlers = {
    onSnapshot: noop,
    onChanges: noop,
    onLost: noop,
    onRegained: noop,
    onHandlerError: noop,
  };
  const follower = new Follower(store, 'k/', handlers, new SteadyClock(), 900, 80);
  void follower.run();
  await delay(40);
  t.deepEqual(store.calls, ['list', 'watch 5 900']);
  await delay(120);
  follower.stop();
  t.deepEqual(store.calls, ['list', 'watch 5 900', 'watch 6 900', 'watch 6 900']);
});

['snapshot', 'changes'].forEach((failing) => {
  test(`follows on after the handler of ${failing} has thrown`, async (t) => {
    const store = new ScriptedStore(['snapshot', 'changes', 'nothing']);
    const seen: string[] = [];
    const recordEvent = (event: string) => (): void => {
      seen.push(event);
      if (event === failing) throw new Error('odd entry');
    };
    const handlers = {
      onSnapshot: recordEvent('snapshot'),
      onChanges: recordEvent('changes'),
      onLost: recordEvent('lost'),
      onRegained: recordEvent('regained'),
      onHandlerError: (err: unknown) => {
        seen.push(String(err));
      },
    };
    const follower = new Follower(store, 'k/', handlers, new SteadyClock(), 900);
    const running = follower.run().then(
      () => 'ended',
      (err: unknown) => String(err),
    );
    t.is(await Promise.race([running, delay(200, 'runs')]), 'runs');
    follower.stop();
    t.deepEqual(store.calls, ['list', 'watch 5 900', 'watch 6 900', 'watch 6 900']);
    t.deepEqual(
      seen,
      ['snapshot', 'changes'].flatMap((event) =>
        event === failing ? [event, 'Error: odd entry'] : [event],
      ),
    );
  });
});
