import test from 'ava';

import { leavingStep } from '../leaving.js';

import type { EndedSide, LeavingStep } from '../leaving.js';

const JUST_ENDED: EndedSide = {
  elapsedMs: 0,
  sentMs: undefined,
  probes: 0,
  allowsProbe: true,
  hasOpenRequest: true,
};

interface Row {
  readonly title: string;
  readonly side: Partial<EndedSide>;
  readonly step: LeavingStep;
}

const ROWS: readonly Row[] = [
  { title: 'no request is open', side: { hasOpenRequest: false }, step: 'left' },
  {
    title: 'no request is open any more',
    side: { hasOpenRequest: false, elapsedMs: 50, sentMs: 40, probes: 1 },
    step: 'left',
  },
  { title: 'nothing was sent yet', side: {}, step: 'probe' },
  { title: 'the first probe was just sent', side: { sentMs: 0, probes: 1 }, step: 'wait' },
  {
    title: 'no reset came in 69 ms',
    side: { elapsedMs: 69, sentMs: 69, probes: 1 },
    step: 'wait',
  },
  {
    title: 'no reset came in 70 ms',
    side: { elapsedMs: 70, sentMs: 70, probes: 1 },
    step: 'probe',
  },
  {
    title: 'the process was paused after the first probe',
    side: { elapsedMs: 900, sentMs: 900, probes: 1 },
    step: 'probe',
  },
  {
    title: 'the last probe was just sent',
    side: { elapsedMs: 150, sentMs: 0, probes: 3 },
    step: 'wait',
  },
  {
    title: 'no reset came after three probes',
    side: { elapsedMs: 240, sentMs: 70, probes: 3 },
    step: 'half-closed',
  },
  {
    title: 'no reset came after bytes of an answer that allows no probe',
    side: { elapsedMs: 250, sentMs: 70, allowsProbe: false },
    step: 'half-closed',
  },
  {
    title: 'no reset came after bytes of an answer that allows probes',
    side: { elapsedMs: 250, sentMs: 70 },
    step: 'probe',
  },
  { title: 'nothing can be sent', side: { allowsProbe: false }, step: 'wait' },
  {
    title: 'nothing could be sent for 169 ms',
    side: { elapsedMs: 199, allowsProbe: false },
    step: 'wait',
  },
  {
    title: 'nothing could be sent for 200 ms',
    side: { elapsedMs: 200, allowsProbe: false },
    step: 'left',
  },
  { title: 'the answer begins in chunks after a wait', side: { elapsedMs: 180 }, step: 'probe' },
];

ROWS.forEach(({ title, side, step }) => {
  test(`a caller whose side has ended is not mistaken: ${title}`, (t) => {
    t.is(leavingStep({ ...JUST_ENDED, ...side }), step);
  });
});
