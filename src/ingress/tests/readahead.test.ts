import test from 'ava';

import { isRead, ReadAhead } from '../readahead.js';

interface Row {
  readonly title: string;
  /** Unanswered requests of the connection, and of all connections; the limit is 100. */
  readonly own: number;
  readonly all: number;
  readonly wasFull?: boolean;
  readonly expected: boolean;
}

const ROWS: readonly Row[] = [
  { title: 'without requests', own: 0, all: 0, expected: true },
  { title: 'with 31 requests', own: 31, all: 31, expected: true },
  { title: 'with 32 requests', own: 32, all: 32, expected: false },
  { title: 'beside 99 requests of others', own: 0, all: 99, expected: true },
  { title: 'beside 100 requests of others', own: 0, all: 100, expected: false },
  { title: 'while 80 of 100 are left', own: 0, all: 80, wasFull: true, expected: false },
  { title: 'while 79 of 100 are left', own: 0, all: 79, wasFull: true, expected: true },
];

ROWS.forEach(({ title, own, all, wasFull = false, expected }) => {
  test(`a connection is ${expected ? 'read' : 'held back'}: ${title}`, (t) => {
    t.is(isRead({ own, all, limit: 100, isFull: wasFull }), expected);
  });
});

/** Connection that counts what it is told. */
class Connection {
  isPaused = false;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
  }
}

/** Runs all tasks at once. */
const AT_ONCE = {
  afterCallback: (task: () => void): void => task(),
  afterPoll: (task: () => void): void => task(),
};

function send(ahead: ReadAhead<Connection>, connection: Connection, requests: number): void {
  for (let sent = 0; sent < requests; sent += 1) ahead.arrived(connection);
  ahead.wasRead(connection);
}

test('a connection that sends too far ahead is read again once it has answers', (t) => {
  const ahead = new ReadAhead<Connection>(100, AT_ONCE);
  const connection = new Connection();
  ahead.opened(connection);
  send(ahead, connection, 32);
  t.true(connection.isPaused);
  ahead.answered(connection);
  t.false(connection.isPaused);
});

test('all connections are held back while there are too many requests', (t) => {
  const ahead = new ReadAhead<Connection>(100, AT_ONCE);
  const others = Array.from({ length: 10 }, () => new Connection());
  const idle = new Connection();
  [...others, idle].forEach((connection) => ahead.opened(connection));
  others.forEach((connection) => send(ahead, connection, 10));
  const late = new Connection();
  ahead.opened(late);
  t.deepEqual([idle.isPaused, late.isPaused], [true, true]);
  others.slice(0, 3).forEach((connection) => ahead.closed(connection));
  t.deepEqual([idle.isPaused, late.isPaused], [false, false]);
  t.like(ahead.facts, { unanswered: 70, paused: 0 });
});
