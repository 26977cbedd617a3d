/** Proof: callers receive their own complete answer or an explicit refusal while engines fail. */
import { callModel } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { tokenText } from '../fakes/index.js';
import { ensure, Proof } from './proof.js';

import type { ReceivedAnswer } from '../testbed/caller.js';
import type { ProofContext } from './proof.js';

const CALLERS = 120;
const ROUNDS = 3;
const OUTPUT_TOKENS = 20;

function expectedContent(prompt: string): string {
  return Array.from({ length: OUTPUT_TOKENS }, (_, index) => tokenText(prompt, index)).join('');
}

function checkAnswer(answer: ReceivedAnswer, prompt: string): void {
  if (answer.isComplete) {
    ensure(
      answer.content === expectedContent(prompt),
      `wrong content in the answer to "${prompt}"`,
    );
    return;
  }
  ensure(answer.code !== undefined, `an answer to "${prompt}" ended early without an error code`);
  ensure(answer.outcome !== 'not-run', `"${prompt}" was dispatched but refused as not-run`);
  ensure(
    expectedContent(prompt).startsWith(answer.content),
    `wrong content in the partial answer to "${prompt}"`,
  );
}

/** A random engine cuts its streams in each round while many callers receive answers. */
export class OwnAnswerProof extends Proof {
  override readonly name = 'own-answer';

  override readonly requirement = 'a caller receives the whole answer to its own request';

  override readonly short = true;

  override async run(ctx: ProofContext): Promise<void> {
    const fleet = await Fleet.start({ daemons: 4, engines: 3, units: 1_000_000 });
    try {
      let whole = 0;
      let cut = 0;
      for (let round = 0; round < ROUNDS; round += 1) {
        const broken = fleet.engines[Math.floor(ctx.random() * fleet.engines.length)];
        broken?.setFaults({ cutAfter: 1 + Math.floor(ctx.random() * OUTPUT_TOKENS) });
        // Rounds run sequentially, because each has a different failing engine.
        // eslint-disable-next-line no-await-in-loop
        const answers = await this.#round(fleet, round);
        whole += answers.filter((answer) => answer.isComplete).length;
        cut += answers.filter((answer) => !answer.isComplete).length;
        broken?.setFaults({ cutAfter: 0 });
      }
      ctx.say(`${whole} complete answers, ${cut} explicit refusals`);
      ensure(
        whole > 0 && cut > 0,
        'all or none of the answers are complete: the proof is not conclusive',
      );
    } finally {
      await fleet.stop();
    }
  }

  async #round(fleet: Fleet, round: number): Promise<readonly ReceivedAnswer[]> {
    return Promise.all(
      Array.from({ length: CALLERS }, async (_, caller) => {
        const prompt = `caller ${round}-${caller} asks about berth ${caller}`;
        const { url } = fleet.daemon(caller % fleet.daemons.length);
        const answer = await callModel({
          url,
          apiKey: API_KEY,
          model: 'drafts',
          prompt,
          maxTokens: OUTPUT_TOKENS,
        });
        checkAnswer(answer, prompt);
        return answer;
      }),
    );
  }
}
