import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import { mkdtemp, open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

import test from 'ava';

import type { ExecutionContext } from 'ava';
import type { FileHandle } from 'node:fs/promises';
import { waitFor } from '../../../testbed/wait.js';
import { LogOutput } from '../logoutput.js';

/** Size of the reads, in bytes. */
const READ_BYTES = 65_536;

function lineOf(index: number): string {
  return `${index} ${'x'.repeat(200)}\n`;
}

/** Opens a named pipe that this process can also read, without waiting. */
async function openPipe(t: ExecutionContext): Promise<FileHandle> {
  const file = join(await mkdtemp(join(tmpdir(), 'comfreyreel-log-')), 'pipe');
  await promisify(execFile)('mkfifo', [file]);
  // eslint-disable-next-line no-bitwise
  const pipe = await open(file, constants.O_RDWR | constants.O_NONBLOCK);
  t.teardown(() => pipe.close());
  return pipe;
}

/** Reads what a pipe holds now. */
async function readAll(pipe: FileHandle): Promise<string> {
  const parts: string[] = [];
  for (;;) {
    // eslint-disable-next-line no-await-in-loop
    const read = await pipe.read(Buffer.alloc(READ_BYTES), 0, READ_BYTES, null).catch(() => null);
    if (!read) return parts.join('');
    parts.push(read.buffer.toString('utf8', 0, read.bytesRead));
  }
}

interface Row {
  readonly name: string;
  readonly lines: number;
  readonly areDropped: boolean;
}

const ROWS: readonly Row[] = [
  { name: 'one line', lines: 1, areDropped: false },
  { name: 'more lines than a pipe holds', lines: 5_000, areDropped: false },
  { name: 'more lines than the buffer holds', lines: 30_000, areDropped: true },
];

ROWS.forEach(({ name, lines, areDropped }) => {
  test(`a reader that begins late gets ${name} in order, and the number of those that were dropped`, async (t) => {
    const pipe = await openPipe(t);
    const output = new LogOutput(pipe.fd);
    let dropped = 0;
    output.onRecovered = (count) => {
      dropped += count;
    };
    const sent = Array.from({ length: lines }, (_, index) => lineOf(index));
    sent.forEach((line) => output.write(line));
    let text = '';
    await waitFor('all lines were read or dropped', async () => {
      text += await readAll(pipe);
      return text.split('\n').length - 1 + dropped === lines;
    });
    t.is(text, sent.slice(0, lines - dropped).join(''));
    t.is(dropped > 0, areDropped);
  });
});

test('a flush writes what the reader accepts, and returns at once', async (t) => {
  const pipe = await openPipe(t);
  const output = new LogOutput(pipe.fd);
  const sent = Array.from({ length: 5_000 }, (_, index) => lineOf(index));
  sent.forEach((line) => output.write(line));
  output.flush();
  await waitFor('the lines of the first write', async () => (await readAll(pipe)).length > 0);
  t.pass();
});
