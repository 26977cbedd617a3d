import { EventEmitter } from 'node:events';

import test from 'ava';

import { Clock } from '../../kernel/index.js';
import { ManualConnection } from '../../../testbed/manualconnection.js';
import { RequestQueue } from '../index.js';

import type { QueueOutcome } from '../index.js';

class ManualClock extends Clock {
  constructor(private readonly read: () => number) {
    super();
  }

  override now(): number {
    return this.read();
  }
}

/**
 * Events in one iteration of the event loop, before the queue is processed, and outcomes that are expected in
 * it.
 */
interface Turn {
  /**
   * Requests that are read completely: name and, after a space, the time left until the deadline, in
   * milliseconds, such as "c 19"; default 500.
   */
  readonly arrive?: readonly string[];
  /** Requests for which the end of the caller's connection is read. */
  readonly leave?: readonly string[];
  /** Requests of callers whose sides end without it being known whether they have left. */
  readonly unclear?: readonly string[];
  /** Requests of callers that are known now to wait for their answers. */
  readonly halfClosed?: readonly string[];
  /** Whether a connection is accepted. */
  readonly accepts?: boolean;
  /** Duration of the iteration, in milliseconds. */
  readonly ms?: number;
  /** Requests that begin. */
  readonly begun?: readonly string[];
  /** Requests that leave the queue because their callers have disconnected. */
  readonly left?: readonly string[];
  /** Requests that are rejected. */
  readonly overloaded?: readonly string[];
  /** Requests that wait when the queue is stopped, or arrive later. */
  readonly stopped?: readonly string[];
  /** Whether the queue is stopped after the arrivals. */
  readonly stops?: boolean;
}

interface Row {
  readonly title: string;
  readonly turns: readonly Turn[];
}

const ROWS: readonly Row[] = [
  {
    title: 'a single request begins after one more poll',
    turns: [{ arrive: ['a'] }, { begun: ['a'] }, {}],
  },
  {
    title: 'a request whose caller disconnects right after it does not begin',
    turns: [{ arrive: ['a'] }, { leave: ['a'], left: ['a'] }, {}],
  },
  {
    title: 'requests that arrive together begin one by one, in their order',
    turns: [
      { arrive: ['a', 'b', 'c'] },
      { begun: ['a'] },
      { leave: ['c'], begun: ['b'], left: ['c'] },
      {},
    ],
  },
  {
    title: 'pending connections are accepted first, for a bounded time',
    turns: [
      { arrive: ['a'], accepts: true },
      { accepts: true, ms: 4 },
      { accepts: true, ms: 4 },
      { accepts: true, ms: 4, begun: ['a'] },
    ],
  },
  {
    title: 'a request begins at once after the last connection',
    turns: [{ arrive: ['a'], accepts: true }, { accepts: true }, { begun: ['a'] }],
  },
  {
    title: 'after a long iteration a request begins even if connections are pending',
    turns: [
      { arrive: ['a', 'b'], accepts: true },
      { accepts: true, ms: 50, begun: ['a'] },
      { accepts: true, ms: 50, begun: ['b'] },
    ],
  },
  {
    title: 'a request whose time limit would pass in the queue is rejected at once',
    turns: [
      { arrive: ['a', 'b'] },
      // The mean interval between two starts rises from 0 to 10 ms: the weight of a new interval is 0.05.
      { ms: 200, begun: ['a'] },
      { arrive: ['c 19', 'd 19', 'e 19', 'f 29'], begun: ['b'], overloaded: ['d', 'e'] },
      { begun: ['c'] },
      { begun: ['f'] },
    ],
  },
  {
    title: 'a request does not begin while it is not known whether its caller has left',
    turns: [
      { arrive: ['a', 'b', 'c'] },
      { unclear: ['a'], begun: ['b'] },
      { begun: ['c'] },
      { arrive: ['d'] },
      { begun: ['d'] },
      {},
      { halfClosed: ['a'] },
      { begun: ['a'] },
      {},
    ],
  },
  {
    title: 'a request whose caller proves to have left does not begin',
    turns: [
      { arrive: ['a', 'b'] },
      { unclear: ['a'], begun: ['b'] },
      {},
      { leave: ['a'], left: ['a'] },
      {},
    ],
  },
  {
    title: 'a request whose caller is known to wait before its turn begins once',
    turns: [
      { arrive: ['a', 'b', 'c'] },
      { unclear: ['c'], begun: ['a'] },
      { halfClosed: ['c'], begun: ['b'] },
      { begun: ['c'] },
      {},
    ],
  },
  {
    title: 'each request waits for one poll after it was read',
    turns: [
      { arrive: ['a'] },
      { arrive: ['b'], begun: ['a'] },
      { begun: ['b'] },
      { arrive: ['c'] },
      { begun: ['c'] },
    ],
  },
  {
    title: 'a request whose caller may have left is ended when the queue is stopped',
    turns: [
      { arrive: ['a'], unclear: ['a'] },
      {},
      {},
      { stops: true, stopped: ['a'] },
      { halfClosed: ['a'] },
    ],
  },
  {
    title: 'requests that wait when the queue is stopped are ended, and so are later ones',
    turns: [
      { arrive: ['a', 'b', 'c'] },
      { begun: ['a'] },
      { leave: ['b'], left: ['b'], stops: true, stopped: ['c'] },
      { arrive: ['d'], stopped: ['d'] },
    ],
  },
];

ROWS.forEach(({ title, turns }) => {
  test(`a burst on one daemon: ${title}`, async (t) => {
    const time = { now: 0 };
    const deferred: (() => void)[] = [];
    const queue = new RequestQueue(new ManualClock(() => time.now), (task) => {
      deferred.push(task);
    });
    const callers = new Map<string, EventEmitter>();
    const connections = new Map<string, ManualConnection>();
    const ended: Record<QueueOutcome, string[]> = {
      begin: [],
      left: [],
      overloaded: [],
      stopped: [],
    };
    for (const [index, turn] of turns.entries()) {
      time.now += turn.ms ?? 0;
      if (turn.accepts) queue.accepted();
      turn.arrive?.forEach((entry) => {
        const [name = '', leftMs = '500'] = entry.split(' ');
        const socket = Object.assign(new EventEmitter(), {
          bytesRead: 0,
          destroy: () => undefined,
        });
        callers.set(name, socket);
        const connection = new ManualConnection(socket, time.now);
        connections.set(name, connection);
        void queue
          .waitForTurn(connection, Number(leftMs))
          .then((outcome) => ended[outcome].push(name));
      });
      turn.unclear?.forEach((name) => connections.get(name)?.endSide(false));
      turn.halfClosed?.forEach((name) => connections.get(name)?.endSide(true));
      turn.leave?.forEach((name) => callers.get(name)?.emit('end'));
      if (turn.stops) queue.stop();
      deferred.splice(0).forEach((task) => task());
      // eslint-disable-next-line no-await-in-loop
      await Promise.resolve().then(() => undefined);
      const { begun = [], left = [], overloaded = [], stopped = [] } = turn;
      t.deepEqual(ended, { begin: begun, left, overloaded, stopped }, `turn ${index}`);
      Object.values(ended).forEach((names) => names.splice(0));
    }
    t.is(queue.length, 0);
  });
});
