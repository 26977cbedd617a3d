import test from 'ava';

import { AnswerFlow } from '../answerflow.js';
import { ChunkShare } from '../chunkshare.js';

/** Number of small chunks that are relayed in less time than an event of another upstream may be delayed, 20 ms. */
const MAX_CHUNKS_PER_TURN = 2_000;

/** Tasks that wait for the next turn of the event loop. */
interface Loop {
  readonly nextTurn: (task: () => void) => void;
  /** Runs one turn. */
  readonly run: () => void;
}

function createLoop(): Loop {
  const next: (() => void)[] = [];
  return {
    nextTurn: (task) => next.push(task),
    run: () => next.splice(0).forEach((task) => task()),
  };
}

/** An answer whose chunks have all arrived, and are read until it is paused. */
class Answer {
  read = 0;

  #isPaused = false;

  #isReading = false;

  readonly flow: AnswerFlow;

  constructor(
    share: ChunkShare,
    private readonly chunks: number,
    private readonly bytes: number,
    private readonly callerBuffer = Number.POSITIVE_INFINITY,
  ) {
    this.flow = new AnswerFlow(share);
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    if (!this.#isReading) this.readOn();
  }

  readOn(): void {
    this.#isReading = true;
    while (!this.#isPaused && this.read < this.chunks) {
      this.flow.arrived(this, this.bytes);
      this.read += 1;
      if (this.read === this.callerBuffer) this.flow.waitForCaller();
    }
    this.#isReading = false;
  }
}

interface Row {
  readonly title: string;
  readonly answers: number;
  /** Number of chunks that have arrived of each answer. */
  readonly chunks: number;
  readonly bytes: number;
  /** Most chunks that are read in a turn. */
  readonly perTurn: number;
  /** Turns until all is read. */
  readonly turns: number;
}

const ROWS: readonly Row[] = [
  { title: 'an event', answers: 1, chunks: 1, bytes: 40, perTurn: 1, turns: 1 },
  {
    title: 'a few events of many streams',
    answers: 1_000,
    chunks: 8,
    bytes: 40,
    perTurn: 8_000,
    turns: 1,
  },
  { title: 'a large answer', answers: 8, chunks: 1_000, bytes: 65_536, perTurn: 8_000, turns: 1 },
  {
    title: 'events of a stream that arrived during a stall',
    answers: 1,
    chunks: 100,
    bytes: 40,
    perTurn: 100,
    turns: 1,
  },
  {
    title: 'many events of a stream',
    answers: 1,
    chunks: 2_000,
    bytes: 40,
    perTurn: MAX_CHUNKS_PER_TURN,
    turns: 16,
  },
  {
    title: 'chunks of one byte',
    answers: 1,
    chunks: 16_384,
    bytes: 1,
    perTurn: MAX_CHUNKS_PER_TURN,
    turns: 130,
  },
  {
    title: 'chunks of one byte of many answers',
    answers: 32,
    chunks: 16_384,
    bytes: 1,
    perTurn: MAX_CHUNKS_PER_TURN,
    turns: 32 * 130,
  },
];

ROWS.forEach(({ title, answers, chunks, bytes, perTurn, turns }) => {
  test(`small chunks of an upstream take a limited part of each turn of the event loop: ${title}`, (t) => {
    const loop = createLoop();
    const share = new ChunkShare(loop.nextTurn);
    const all = Array.from({ length: answers }, () => new Answer(share, chunks, bytes));
    const readNow = (): number => all.reduce((sum, { read }) => sum + read, 0);
    all.forEach((answer) => answer.readOn());
    let before = 0;
    let most = readNow();
    let used = 1;
    while (readNow() < answers * chunks && used <= turns) {
      before = readNow();
      loop.run();
      most = Math.max(most, readNow() - before);
      used += 1;
    }
    t.is(readNow(), answers * chunks);
    t.true(most <= perTurn, `${most} chunks in a turn`);
    t.true(used <= turns, `${used} turns`);
  });
});

test('answers that wait for the share of their upstream take turns', (t) => {
  const loop = createLoop();
  const share = new ChunkShare(loop.nextTurn);
  const all = Array.from({ length: 8 }, () => new Answer(share, 16_384, 1));
  all.forEach((answer) => answer.readOn());
  for (let turn = 0; turn < 80; turn += 1) loop.run();
  const read = all.map((answer) => answer.read);
  t.true(Math.max(...read) < 1.2 * Math.min(...read), read.join(' '));
});

test('an event does not wait while other answers of its upstream have used their share', (t) => {
  const loop = createLoop();
  const share = new ChunkShare(loop.nextTurn);
  const faulty = Array.from({ length: 32 }, () => new Answer(share, 16_384, 1));
  faulty.forEach((answer) => answer.readOn());
  for (let turn = 0; turn < 10; turn += 1) {
    const sound = new Answer(share, 1, 40);
    sound.readOn();
    t.is(sound.read, 1);
    t.false(sound.flow.waitsForShare);
    loop.run();
  }
});

test('an answer is not read on before its caller reads and its turn has come', (t) => {
  const loop = createLoop();
  const share = new ChunkShare(loop.nextTurn);
  const answer = new Answer(share, 1_000, 1, 400);
  answer.readOn();
  const { read } = answer;
  t.true(answer.flow.waitsForShare);
  answer.flow.drained();
  t.is(answer.read, read, 'its turn has not come');
  while (answer.read < 400) loop.run();
  loop.run();
  t.is(answer.read, 400, 'its caller does not read');
  answer.flow.drained();
  loop.run();
  t.true(answer.read > 400);
});

test('an answer that has ended is not read on', (t) => {
  const loop = createLoop();
  const share = new ChunkShare(loop.nextTurn);
  const answer = new Answer(share, 1_000, 1);
  answer.readOn();
  const { read } = answer;
  answer.flow.end();
  loop.run();
  t.is(answer.read, read);
});
