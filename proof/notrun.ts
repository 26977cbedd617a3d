/** Proof: a request that is refused as "not-run" did not run, also when it is retried. */
import { setTimeout as delay } from 'node:timers/promises';

import { Fleet } from '../testbed/fleet.js';
import { dispatchAll, summary } from './dispatchload.js';
import { ensure, Proof } from './proof.js';

import type { ProofContext } from './proof.js';

const CALLS = 300;
const SPREAD_MS = 4_000;
const ATTEMPTS = 6;
const TURNS = 12;
const TURN_DURATION_MS = 350;

/** Budget for part of the calls only, so that later ones are refused for lack of units. */
const UNITS = 80;

/** Alternately loses service responses, so that many unconfirmed keys have run at exhaustion. */
async function toggleLostAnswers(fleet: Fleet): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    fleet.service.setFaults({ loseAnswers: turn % 2 === 0 });
    // eslint-disable-next-line no-await-in-loop
    await delay(TURN_DURATION_MS);
  }
}

async function injectFaults(fleet: Fleet, random: () => number): Promise<void> {
  const losing = toggleLostAnswers(fleet);
  await delay(1_500);
  const victim = fleet.daemon(Math.floor(random() * fleet.daemons.length));
  victim.child.signal('SIGKILL');
  await delay(1_000);
  fleet.daemons.find(({ child }) => child.running)?.child.signal('SIGTERM');
  await losing;
}

/**
 * Responses of an idempotent service are lost, one daemon is killed, another stops gracefully, and
 * the budget is exhausted.
 */
export class NotRunProof extends Proof {
  override readonly name = 'not-run';

  override readonly requirement = 'a request refused as "not run" truly did not run';

  override readonly short = true;

  override async run(ctx: ProofContext): Promise<void> {
    const { random } = ctx;
    const fleet = await Fleet.start({ daemons: 5, units: UNITS, random });
    try {
      const load = {
        fleet,
        route: 'lookup',
        calls: CALLS,
        attempts: ATTEMPTS,
        spreadMs: SPREAD_MS,
        random,
      };
      const [histories] = await Promise.all([dispatchAll(load), injectFaults(fleet, random)]);
      ctx.say(summary(histories));
      const refused = histories.flatMap(({ answers }) =>
        answers.filter(({ outcome }) => outcome === 'not-run'),
      );
      ensure(refused.length > 0, 'nothing was refused as not-run: the proof is not conclusive');
      ctx.say(`${refused.length} refusals as not-run, all for keys that had not run`);
    } finally {
      await fleet.stop();
    }
  }
}
