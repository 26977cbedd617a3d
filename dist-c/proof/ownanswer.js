/** Proof: callers receive their own whole answer, or an honest refusal, while engines break off. */
import { askModel } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { tokenText } from '../fakes/index.js';
import { ensure, Proof } from './proof.js';
const CALLERS = 120;
const ROUNDS = 3;
const TOKENS = 20;
function expected(prompt) {
    return Array.from({ length: TOKENS }, (_, index) => tokenText(prompt, index)).join('');
}
function check(answer, prompt) {
    if (answer.whole) {
        ensure(answer.content === expected(prompt), `foreign or altered answer for "${prompt}"`);
        return;
    }
    ensure(answer.code !== undefined, `an answer to "${prompt}" ended without a refusal`);
    ensure(answer.outcome !== 'not-run', `"${prompt}" was dispatched and yet called not-run`);
    ensure(expected(prompt).startsWith(answer.content), `foreign bytes in the answer to "${prompt}"`);
}
/** Engines break off at random while many callers stream. */
export class OwnAnswerProof extends Proof {
    name = 'own-answer';
    point = 'a caller receives the whole answer to its own request';
    short = true;
    async run(ctx) {
        const fleet = await Fleet.start({ daemons: 4, engines: 3, units: 1_000_000 });
        try {
            let whole = 0;
            let cut = 0;
            for (let round = 0; round < ROUNDS; round += 1) {
                const broken = fleet.engines[Math.floor(ctx.random() * fleet.engines.length)];
                broken?.setFaults({ cutAfter: 1 + Math.floor(ctx.random() * TOKENS) });
                // Rounds differ in the engine that breaks off.
                // eslint-disable-next-line no-await-in-loop
                const answers = await this.#round(fleet, round);
                whole += answers.filter((answer) => answer.whole).length;
                cut += answers.filter((answer) => !answer.whole).length;
                broken?.setFaults({ cutAfter: 0 });
            }
            ctx.say(`${whole} whole answers, ${cut} honest refusals`);
            ensure(whole > 0 && cut > 0, 'the faults did not bite: nothing was proved');
        }
        finally {
            await fleet.stop();
        }
    }
    async #round(fleet, round) {
        return Promise.all(Array.from({ length: CALLERS }, async (_, caller) => {
            const prompt = `caller ${round}-${caller} asks about berth ${caller}`;
            const { url } = fleet.daemon(caller % fleet.daemons.length);
            const answer = await askModel({
                url,
                apiKey: API_KEY,
                model: 'drafts',
                prompt,
                maxTokens: TOKENS,
            });
            check(answer, prompt);
            return answer;
        }));
    }
}
//# sourceMappingURL=ownanswer.js.map