/** Proof: a workspace never spends beyond what it has paid, in a partition with payments and kills. */
import { setTimeout as delay } from 'node:timers/promises';

import { parseShard, segmentSchema, spentOf, totalOf, unallocated } from '../src/budget/index.js';
import { callModel } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { waitFor } from '../testbed/wait.js';
import { ensure, Proof } from './proof.js';

import type { BudgetRecord } from '../src/budget/index.js';
import type { ReceivedAnswer } from '../testbed/caller.js';
import type { ProofContext } from './proof.js';

/** Units paid at the start: less than the callers ask for in the time of the proof. */
const PAID_UNITS = 32_000;

/** Units paid while one side is cut off. */
const TOP_UP_UNITS = 8_000;

const DAEMONS = 6;

/** Daemons of the data centre that is cut off. */
const CUT_OFF = ['entry-3', 'entry-6'];

const CALLERS = 24;

const OUTPUT_TOKENS = 20;

/** Time between two requests of a caller, in milliseconds. */
const REQUEST_DELAY_MS = 20;

/** Length of each phase, in milliseconds. */
const PHASE_DURATION_MS = 2_500;

/** Longest time until the budget has run out after the faults, in milliseconds. */
const EXHAUSTION_TIMEOUT_MS = 30_000;

/** What the callers have received. */
interface Tally {
  units: number;
  whole: number;
  readonly refusals: Map<string, number>;
  /** Whole answers and refusals of the daemons that are cut off. */
  readonly cutOff: { whole: number; refused: number };
}

/** What the callers and the checks go by. */
interface ProofState {
  isOver: boolean;
  isCut: boolean;
}

/** Prompt tokens of the stand-in: a token takes four bytes. */
function unitsOf(prompt: string, answer: ReceivedAnswer): number {
  return answer.isComplete ? Math.ceil(Buffer.byteLength(prompt) / 4) + OUTPUT_TOKENS : 0;
}

/** Refusals for want of units; while units of dead daemons are held they say "unreachable". */
function refusedForBudget({ refusals }: Tally): number {
  return (refusals.get('budget-exhausted') ?? 0) + (refusals.get('budget-unreachable') ?? 0);
}

function refusalText({ refusals }: Tally): string {
  return [...refusals].map(([code, count]) => `${count} ${code}`).join(', ');
}

/** Callers at every daemon, a budget near its end, a cut, a payment on one side, two kills. */
export class NoOverspendProof extends Proof {
  override readonly requirement = 'a workspace never spends more than it has paid';

  override readonly short = false;

  /**
   * Creates a variant.
   * @param name - name on the command line
   * @param loseAnswers - share of the store's writes whose answer is lost after they took effect
   */
  constructor(
    override readonly name: string,
    private readonly loseAnswers: number,
  ) {
    super();
  }

  override async run(ctx: ProofContext): Promise<void> {
    const fleet = await Fleet.start({
      daemons: DAEMONS,
      units: PAID_UNITS,
      partitionedDaemons: CUT_OFF,
      random: ctx.random,
    });
    try {
      fleet.store.setFaults({ loseAnswers: this.loseAnswers });
      const tally: Tally = {
        units: 0,
        whole: 0,
        refusals: new Map(),
        cutOff: { whole: 0, refused: 0 },
      };
      const state: ProofState = { isOver: false, isCut: false };
      const watch = this.#checkWhileRunning(fleet, state);
      const callers = Array.from({ length: CALLERS }, (_, caller) =>
        this.#runCaller(fleet, caller, tally, state),
      );
      await this.#injectFaults(fleet, ctx, state);
      ctx.say(`after the faults: ${tally.whole} answers; ${refusalText(tally)}`);
      await waitFor(
        'the budget runs out',
        () => refusedForBudget(tally) > 0,
        EXHAUSTION_TIMEOUT_MS,
      ).catch((err) =>
        ensure(false, `${String(err)}; ${tally.whole} answers; ${refusalText(tally)}`),
      );
      await delay(PHASE_DURATION_MS);
      state.isOver = true;
      await Promise.all(callers);
      await watch;
      fleet.store.setFaults({ loseAnswers: 0 });
      await delay(PHASE_DURATION_MS);
      this.#check(fleet, tally, ctx);
    } finally {
      await fleet.stop();
    }
  }

  async #injectFaults(fleet: Fleet, ctx: ProofContext, state: ProofState): Promise<void> {
    const now = state;
    await delay(PHASE_DURATION_MS);
    now.isCut = true;
    fleet.setPartition(ctx.random() < 0.5 ? 'cut' : 'silent');
    await delay(PHASE_DURATION_MS);
    await fleet
      .daemon(0)
      .order('topups', { budget: 'main', operation: 'more', units: TOP_UP_UNITS });
    // One daemon of the larger side dies during the cut, at a moment that the seed gives.
    await delay(PHASE_DURATION_MS * ctx.random());
    fleet.daemon(ctx.random() < 0.5 ? 1 : 3).child.signal('SIGKILL');
    await fleet.refreshInstanceList();
    await delay(PHASE_DURATION_MS);
    now.isCut = false;
    fleet.setPartition('cut');
    fleet.setPartition('pass');
    await delay(PHASE_DURATION_MS * ctx.random());
    // A daemon of the smaller side dies when it has just come back.
    fleet.daemon(5).child.signal('SIGKILL');
    await fleet.refreshInstanceList();
    await delay(2 * PHASE_DURATION_MS);
  }

  async #runCaller(
    fleet: Fleet,
    caller: number,
    tally: Tally,
    state: Readonly<ProofState>,
  ): Promise<void> {
    const counts = tally;
    for (let round = 0; !state.isOver; round += 1) {
      const prompt = `berth ${caller} round ${round}`;
      const { url, options } = fleet.daemon((caller + round) % DAEMONS);
      const atCutOff = state.isCut && CUT_OFF.includes(options.name);
      const ask = { url, apiKey: API_KEY, model: 'drafts', prompt, maxTokens: OUTPUT_TOKENS };
      // Requests of one caller follow each other.
      // eslint-disable-next-line no-await-in-loop
      const answer = await callModel(ask);
      counts.units += unitsOf(prompt, answer);
      if (atCutOff) counts.cutOff[answer.isComplete ? 'whole' : 'refused'] += 1;
      if (answer.isComplete) counts.whole += 1;
      else {
        const code = answer.code ?? 'no answer';
        counts.refusals.set(code, (counts.refusals.get(code) ?? 0) + 1);
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(REQUEST_DELAY_MS);
    }
  }

  /** Checks every version of the shard that it sees. */
  async #checkWhileRunning(fleet: Fleet, state: { readonly isOver: boolean }): Promise<void> {
    while (!state.isOver) {
      const budget = this.#budget(fleet);
      ensure(
        unallocated(budget) >= 0,
        `granted ${-unallocated(budget)} units beyond what was paid`,
      );
      // eslint-disable-next-line no-await-in-loop
      await delay(1);
    }
  }

  #budget(fleet: Fleet): BudgetRecord {
    const budgets = fleet.store.keys('budgets/').flatMap((key) => {
      const value = fleet.store.peek(key);
      return parseShard(value).budgets;
    });
    const found = budgets.find(({ name }) => name === 'main');
    ensure(found !== undefined, 'the budget "main" is missing from the store');
    return found;
  }

  #check(fleet: Fleet, tally: Tally, ctx: ProofContext): void {
    const budget = this.#budget(fleet);
    const tokens = fleet.engines.reduce((sum, { counts }) => sum + counts.tokens, 0);
    ctx.say(
      `paid ${budget.paid}, answered ${tally.units} in ${tally.whole} answers; ${refusalText(tally)}`,
    );
    ctx.say(`settled ${spentOf(budget)}, tokens by the engines' own count ${tokens}`);
    const { whole, refused } = tally.cutOff;
    ctx.say(`asked at the cut-off side during the cut: ${whole} answered whole, ${refused} not`);
    const loans = budget.rows.flatMap(({ passed }) => passed ?? []);
    ctx.say(`${totalOf(loans)} units lent in ${loans.length} pairs of daemons`);
    ensure(tally.units <= budget.paid, `answered ${tally.units} units of ${budget.paid} paid`);
    ensure(tokens <= budget.paid, `engines made ${tokens} tokens of ${budget.paid} paid`);
    ensure(spentOf(budget) <= budget.paid, `settled ${spentOf(budget)} of ${budget.paid} paid`);
    const lines = fleet.store
      .keys('charges/')
      .filter((key) => fleet.store.peek(key) !== null)
      .flatMap((key) => segmentSchema.safeParse(fleet.store.peek(key)).data?.lines ?? []);
    const unique = new Map(lines.map((line) => [line.key, line.units]));
    const billed = [...unique.values()].reduce((sum, units) => sum + units, 0);
    ensure(billed <= budget.paid, `billed ${billed} of ${budget.paid} paid`);
    ensure(tally.units > budget.paid / 2, 'hardly anything was spent: nothing was proved');
    ensure(loans.length > 0, 'no unit was lent: nothing was proved');
  }
}
