import test from 'ava';

import { MEGABYTE_BYTES } from '../../kernel/index.js';
import { bodyStep } from '../bodylimit.js';

import type { BodyStep } from '../bodylimit.js';

interface Row {
  readonly title: string;
  /** Size of the body, in megabytes. */
  readonly mb: number;
  readonly waitedMs?: number;
  readonly isFirst?: boolean;
  /** Bodies that are kept, in megabytes: small and large ones. */
  readonly held?: readonly [number, number];
  /** What waits unread, in megabytes. */
  readonly unreadMb?: number;
  /** Resident size without bodies, in megabytes. */
  readonly otherMb?: number;
  /** Part of it that is in files, in megabytes. */
  readonly fileMb?: number;
  /** Limit of the instance, in megabytes; default 200. */
  readonly limitMb?: number;
  readonly expected: BodyStep;
}

// With 100 MB in use, 80 MB are free: 24 MB of it for large bodies, 8 MB for small ones.
const ROWS: readonly Row[] = [
  { title: 'the first large one', mb: 4, expected: 'read' },
  {
    title: 'a large one that fills the share of large ones',
    mb: 4,
    held: [0, 20],
    expected: 'read',
  },
  { title: 'a large one beyond that share', mb: 4, held: [0, 21], expected: 'wait' },
  {
    title: 'a small one beside a full share of large ones',
    mb: 0.01,
    held: [0, 24],
    expected: 'read',
  },
  {
    title: 'a large one beside a full share of small ones',
    mb: 4,
    held: [8, 0],
    expected: 'read',
  },
  {
    title: 'a small one beyond the share of small ones',
    mb: 0.05,
    held: [7.96, 0],
    expected: 'wait',
  },
  { title: 'one behind another that waits', mb: 4, isFirst: false, expected: 'wait' },
  { title: 'one that is larger than its share, alone', mb: 50, expected: 'read' },
  {
    title: 'one that is larger than its share, beside another',
    mb: 50,
    held: [0, 4],
    expected: 'wait',
  },
  { title: 'one that never fits', mb: 181, expected: 'refuse' },
  {
    title: 'one that has waited for 399 ms',
    mb: 4,
    held: [0, 24],
    waitedMs: 399,
    expected: 'wait',
  },
  {
    title: 'one that has waited for 400 ms',
    mb: 4,
    held: [0, 24],
    waitedMs: 400,
    expected: 'refuse',
  },
  { title: 'room after 400 ms', mb: 4, held: [0, 20], waitedMs: 400, expected: 'read' },
  { title: 'one beside full buffers', mb: 4, held: [0, 24], unreadMb: 9.9, expected: 'refuse' },
  { title: 'room beside full buffers', mb: 4, unreadMb: 9.9, expected: 'read' },
  {
    title: 'a large one in a process that has grown',
    mb: 4,
    held: [0, 12],
    otherMb: 140,
    expected: 'wait',
  },
  { title: 'one alone in a process that has grown', mb: 4, otherMb: 172, expected: 'read' },
  {
    title: 'a large one beside another in a full process',
    mb: 4,
    held: [0, 4],
    otherMb: 180,
    expected: 'refuse',
  },
  { title: 'a large one alone in a full process', mb: 4.2, otherMb: 190, expected: 'read' },
  {
    title: 'one above the floor alone in a full process',
    mb: 13,
    otherMb: 190,
    expected: 'refuse',
  },
  { title: 'a small one in a full process', mb: 0.01, otherMb: 190, expected: 'read' },
  {
    title: 'a small one beside as many as a full process takes',
    mb: 0.05,
    held: [6.21, 0],
    otherMb: 190,
    expected: 'wait',
  },
  {
    title: 'a small one beside as many, with full buffers',
    mb: 0.05,
    held: [6.21, 0],
    unreadMb: 6.21,
    otherMb: 190,
    expected: 'refuse',
  },
  {
    title: 'a small one at rest in a small instance',
    mb: 0.06,
    otherMb: 69,
    limitMb: 88,
    expected: 'read',
  },
  {
    title: 'a small one in a process that is larger than its instance with pages of files',
    mb: 0.06,
    otherMb: 92,
    fileMb: 42,
    limitMb: 88,
    expected: 'read',
  },
  {
    title: 'a large one alone in such a process',
    mb: 4,
    otherMb: 92,
    fileMb: 42,
    limitMb: 88,
    expected: 'read',
  },
  {
    title: 'a large one beside another in such a process',
    mb: 4,
    held: [0, 4],
    otherMb: 92,
    fileMb: 42,
    limitMb: 88,
    expected: 'wait',
  },
  {
    title: 'a large one beside another in a process that is full without pages of files',
    mb: 4,
    held: [0, 4],
    otherMb: 121,
    fileMb: 42,
    limitMb: 88,
    expected: 'refuse',
  },
  {
    title: 'a large one in a large instance, whatever the pages of files',
    mb: 4,
    held: [0, 20],
    otherMb: 100,
    fileMb: 42,
    expected: 'read',
  },
];

ROWS.forEach((row) => {
  const {
    title,
    mb,
    waitedMs = 0,
    isFirst = true,
    held = [0, 0],
    unreadMb = 0,
    otherMb = 100,
    fileMb = 0,
    limitMb = 200,
  } = row;
  test(`a body is ${row.expected}: ${title}`, (t) => {
    const [small, large] = held.map((megabytes) => megabytes * MEGABYTE_BYTES);
    const step = bodyStep(
      { bytes: mb * MEGABYTE_BYTES, waitedMs, isFirst },
      {
        held: { small: small ?? 0, large: large ?? 0 },
        unreadBytes: unreadMb * MEGABYTE_BYTES,
      },
      {
        limitBytes: limitMb * MEGABYTE_BYTES,
        otherBytes: otherMb * MEGABYTE_BYTES,
        fileBytes: fileMb * MEGABYTE_BYTES,
      },
    );
    t.is(step, row.expected);
  });
});
