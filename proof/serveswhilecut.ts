/** Proof: a data centre that is cut off keeps serving requests with the units that it holds. */
import { setTimeout as delay } from 'node:timers/promises';

import { callModel } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { ensure, Proof } from './proof.js';

import type { ReceivedAnswer } from '../testbed/caller.js';
import type { ProofContext } from './proof.js';

const PAID_UNITS = 10_000_000;

/** Two of six daemons are in the data centre that is cut off. */
const CUT_OFF = ['entry-3', 'entry-6'];
const CUT_OFF_POSITIONS = [2, 5] as const;

const CALLERS = 8;
const OUTPUT_TOKENS = 10;

/** Requests of a caller before the cut, which show daemons the demand, and again during it. */
const ROUNDS = 10;

/** Time in which the daemons detect the cut, in milliseconds. */
const DETECTION_DELAY_MS = 4_000;

/** Maximum refusals while units are plentiful, in percent of the requests. */
const MAX_REFUSED_PERCENT = 2;

/** Callers use only the two daemons that are cut off from the store and the other daemons. */
export class ServesWhileCutProof extends Proof {
  override readonly name = 'serves-while-cut';

  override readonly requirement =
    'a data centre that is cut off alone goes on with the units it holds';

  override readonly short = false;

  override async run(ctx: ProofContext): Promise<void> {
    const fleet = await Fleet.start({ daemons: 6, units: PAID_UNITS, partitionedDaemons: CUT_OFF });
    try {
      const before = await this.#ask(fleet, 'before');
      ensure(
        before.every(({ isComplete: whole }) => whole),
        'requests fail before the cut',
      );
      fleet.setPartition('cut');
      await delay(DETECTION_DELAY_MS);
      const answers = await this.#ask(fleet, 'cut');
      const refused = answers.filter(({ isComplete: whole }) => !whole);
      const codes = [...new Set(refused.map(({ code }) => code ?? 'no answer'))].join(', ');
      const percent = (refused.length / answers.length) * 100;
      ctx.say(`${refused.length} of ${answers.length} refused during the cut; codes: ${codes}`);
      ensure(
        percent <= MAX_REFUSED_PERCENT,
        `${percent}% refused although enough units were held: ${codes}`,
      );
    } finally {
      await fleet.stop();
    }
  }

  async #ask(fleet: Fleet, phase: string): Promise<readonly ReceivedAnswer[]> {
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      const answers: ReceivedAnswer[] = [];
      const { url } = fleet.daemon(CUT_OFF_POSITIONS[caller % CUT_OFF_POSITIONS.length] ?? 0);
      for (let round = 0; round < ROUNDS; round += 1) {
        const prompt = `${phase} ${caller} round ${round}`;
        const ask = { url, apiKey: API_KEY, model: 'drafts', prompt, maxTokens: OUTPUT_TOKENS };
        // A caller sends its requests sequentially.
        // eslint-disable-next-line no-await-in-loop
        answers.push(await callModel(ask));
      }
      return answers;
    });
    return (await Promise.all(callers)).flat();
  }
}
