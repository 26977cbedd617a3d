import test from 'ava';
import { pino } from 'pino';

import { FaultyStore } from '../../../testbed/faultystore.js';
import { PeerlessNetwork } from '../../../testbed/peerlessnetwork.js';
import { MANIFEST_KEY } from '../../config/index.js';
import { SystemClock } from '../../kernel/index.js';
import { PLAN_KEY_PREFIX } from '../../plan/index.js';
import { Recorder } from '../../telemetry/index.js';
import { ConfigTask } from '../configtask.js';
import { PlanFollower } from '../planfollower.js';

import type { EventName } from '../../telemetry/index.js';

const SELF = 'entry-1~1';

const VALUES: readonly (readonly [title: string, value: unknown])[] = [
  ['a text', 'x'],
  ['a list', [1]],
  ['a number', 1e308],
  ['fields of another type', { manifest: 1, phase: 1 }],
];

function makeRecorder(): Recorder {
  const logger = pino({ level: 'silent' });
  return new Recorder(SELF, new SystemClock(), { logger, metrics: undefined });
}

function names(recorder: Recorder): readonly EventName[] {
  return recorder.timeline.list().map(({ name }) => name);
}

VALUES.forEach(([title, value]) => {
  test(`a manifest that is invalid is rejected with a log line, not an exception: ${title}`, async (t) => {
    const store = new FaultyStore(() => 'answered');
    await store.write(MANIFEST_KEY, value, 0);
    const recorder = makeRecorder();
    const network = new PeerlessNetwork();
    const task = new ConfigTask({ self: SELF, dataCentre: 'dc-1', store, network, recorder });
    t.true((await task.readManifest()).err);
    t.true(names(recorder).includes('configRejected'));
  });

  test(`a plan that is invalid leaves the plans unconfirmed with a log line: ${title}`, async (t) => {
    const store = new FaultyStore(() => 'answered');
    await store.write(`${PLAN_KEY_PREFIX}p`, value, 0);
    const recorder = makeRecorder();
    const network = new PeerlessNetwork();
    const follower = new PlanFollower({
      instance: 'entry-1',
      dataCentre: 'dc-1',
      store,
      network,
      recorder,
    });
    await follower.confirm();
    t.false(follower.loaded);
    t.true(names(recorder).includes('plansUnconfirmed'));
  });
});
