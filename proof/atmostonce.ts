/** Proof: a non-idempotent request runs at most once despite faults. */
import { setTimeout as delay } from 'node:timers/promises';

import { Fleet } from '../testbed/fleet.js';
import { dispatchAll, summary } from './dispatchload.js';
import { ensure, Proof } from './proof.js';

import type { ProofContext } from './proof.js';

const CALLS = 300;
const SPREAD_MS = 5_000;
const ATTEMPTS = 5;
const LOST_ANSWER_SHARE = 0.25;

async function injectFaults(fleet: Fleet, random: () => number): Promise<void> {
  fleet.store.setFaults({ loseAnswers: LOST_ANSWER_SHARE });
  await delay(800);
  fleet.service.setFaults({ loseAnswers: true });
  await delay(400);
  fleet.service.setFaults({ loseAnswers: false, delayMs: 200 });
  const victim = fleet.daemon(Math.floor(random() * fleet.daemons.length));
  victim.child.signal('SIGKILL');
  await delay(700);
  const paused = fleet.daemons.find(({ child }) => child.running);
  paused?.child.signal('SIGSTOP');
  fleet.store.setFaults({ outage: true });
  await delay(700);
  fleet.store.setFaults({ outage: false });
  paused?.child.signal('SIGCONT');
  fleet.service.setFaults({ delayMs: 0 });
}

/**
 * Injects lost responses of the store and of the service, kills one daemon, suspends another and
 * makes the store unavailable while callers retry with the same key.
 */
export class AtMostOnceProof extends Proof {
  override readonly name = 'at-most-once';

  override readonly requirement = 'a non-idempotent request runs at most once; "not-run" is true';

  override readonly short = true;

  override async run(ctx: ProofContext): Promise<void> {
    const { random } = ctx;
    const fleet = await Fleet.start({ daemons: 5, units: 100_000, random });
    try {
      const load = {
        fleet,
        route: 'dispatch',
        calls: CALLS,
        attempts: ATTEMPTS,
        spreadMs: SPREAD_MS,
        random,
      };
      const [histories] = await Promise.all([dispatchAll(load), injectFaults(fleet, random)]);
      ctx.say(summary(histories));
      const repeated = fleet.service.runs.filter(({ runs }) => runs > 1);
      ensure(
        repeated.length === 0,
        `requests that ran more than once: ${JSON.stringify(repeated)}`,
      );
      const confirmed = histories.filter(({ answers }) => answers.at(-1)?.status === 200);
      ctx.say(`${confirmed.length} of ${CALLS} confirmed, ${fleet.service.runs.length} ran`);
      const ran = new Set(fleet.service.runs.map(({ key }) => key));
      const neverRan = confirmed.filter(({ key }) => !ran.has(key));
      ensure(neverRan.length === 0, `${neverRan.length} requests were confirmed but never ran`);
      ensure(
        confirmed.length > CALLS / 2,
        'no more than half of the calls were confirmed: the proof is not conclusive',
      );
    } finally {
      await fleet.stop();
    }
  }
}
