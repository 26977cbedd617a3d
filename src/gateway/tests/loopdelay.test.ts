import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { pino } from 'pino';

import { newIncarnation, SteadyClock, SystemClock } from '../../kernel/index.js';
import { Recorder } from '../../telemetry/index.js';
import { LoopDelay } from '../loopdelay.js';
import { GatewayMetrics } from '../metrics.js';

interface Row {
  readonly title: string;
  /** Duration of the synchronous work, in milliseconds. */
  readonly workMs: number;
  readonly isTold: boolean;
}

const ROWS: readonly Row[] = [
  { title: 'long synchronous work', workMs: 700, isTold: true },
  { title: 'nothing', workMs: 0, isTold: false },
];

ROWS.forEach(({ title, workMs, isTold }) => {
  test.serial(`a delay of the event loop is logged if it is large: ${title}`, async (t) => {
    const logger = pino({ level: 'silent' });
    const sinks = { logger, metrics: undefined };
    const recorder = new Recorder(newIncarnation('e1'), new SystemClock(), sinks);
    const metrics = new GatewayMetrics();
    const task = new LoopDelay(new SteadyClock(), recorder, metrics);
    t.teardown(() => task.stop());
    task.start();
    await delay(300);
    const until = performance.now() + workMs;
    while (performance.now() < until);
    await delay(1_200);
    const told = recorder.timeline.list().filter(({ name }) => name === 'loopDelayed');
    t.is(told.length > 0, isTold);
    const { maxMs = 0 } = (told[0]?.subject.facts ?? {}) as { readonly maxMs?: number };
    t.is(maxMs >= 500, isTold, `${maxMs} ms`);
    t.regex(await metrics.text(), /comfreyreel_loop_delay_seconds_count [1-9]/);
  });
});
