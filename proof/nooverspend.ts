/**
 * Proof: a workspace never spends more than it has paid, also during a partition with payments and
 * killed daemons.
 */
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

/** Units paid at the start: fewer than the callers request during the proof. */
const PAID_UNITS = 32_000;

/** Units paid during the partition. */
const TOP_UP_UNITS = 8_000;

const DAEMONS = 6;

/** Daemons of the data centre that is cut off. */
const CUT_OFF = ['entry-3', 'entry-6'];

const CALLERS = 24;

const OUTPUT_TOKENS = 20;

/** Delay between an answer and the caller's next request, in milliseconds. */
const REQUEST_DELAY_MS = 20;

/** Length of each phase, in milliseconds. */
const PHASE_DURATION_MS = 2_500;

/** Maximum time from the end of the faults until the budget is exhausted, in milliseconds. */
const EXHAUSTION_TIMEOUT_MS = 30_000;

/** Counts of the answers that the callers have received. */
interface Tally {
  units: number;
  whole: number;
  readonly refusals: Map<string, number>;
  /** Complete answers and refusals of cut-off daemons during the partition. */
  readonly cutOff: { whole: number; refused: number };
}

/** Flags that callers and checks read while the proof runs. */
interface ProofState {
  isOver: boolean;
  isCut: boolean;
}

/**
 * Units of an answer; an incomplete one counts 0. The fake engine counts one prompt token per four
 * bytes.
 */
function unitsOf(prompt: string, answer: ReceivedAnswer): number {
  return answer.isComplete ? Math.ceil(Buffer.byteLength(prompt) / 4) + OUTPUT_TOKENS : 0;
}

/**
 * Counts refusals for lack of units. While units of killed daemons are held, their code is
 * `budget-unreachable` instead of `budget-exhausted`.
 */
function refusedForBudget({ refusals }: Tally): number {
  return (refusals.get('budget-exhausted') ?? 0) + (refusals.get('budget-unreachable') ?? 0);
}

function refusalText({ refusals }: Tally): string {
  return [...refusals].map(([code, count]) => `${count} ${code}`).join(', ');
}

/**
 * Callers use every daemon until the budget is exhausted, while a data centre is cut off, a payment
 * arrives on the other side and two daemons are killed.
 */
export class NoOverspendProof extends Proof {
  override readonly requirement = 'a workspace never spends more than it has paid';

  override readonly short = false;

  /**
   * Creates a variant.
   * @param name - name on the command line
   * @param loseAnswers - share of the store writes that take effect but whose response is lost
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
    // A daemon of the larger side is killed during the partition, at a seeded random time.
    await delay(PHASE_DURATION_MS * ctx.random());
    fleet.daemon(ctx.random() < 0.5 ? 1 : 3).child.signal('SIGKILL');
    await fleet.refreshInstanceList();
    await delay(PHASE_DURATION_MS);
    now.isCut = false;
    fleet.setPartition('cut');
    fleet.setPartition('pass');
    await delay(PHASE_DURATION_MS * ctx.random());
    // A daemon of the smaller side is killed shortly after it was reconnected.
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
      // A caller sends its requests sequentially.
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

  /** Polls the stored budget and checks that no more units are granted than were paid. */
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
      `paid ${budget.paid}, used ${tally.units} in ${tally.whole} answers; ${refusalText(tally)}`,
    );
    ctx.say(`settled ${spentOf(budget)}, tokens counted by the engines ${tokens}`);
    const { whole, refused } = tally.cutOff;
    ctx.say(`cut-off daemons: ${whole} complete answers, ${refused} refusals`);
    const loans = budget.rows.flatMap(({ passed }) => passed ?? []);
    ctx.say(`${totalOf(loans)} units lent in ${loans.length} pairs of daemons`);
    ensure(tally.units <= budget.paid, `answered ${tally.units} units of ${budget.paid} paid`);
    ensure(tokens <= budget.paid, `engines generated ${tokens} tokens of ${budget.paid} paid`);
    ensure(spentOf(budget) <= budget.paid, `settled ${spentOf(budget)} of ${budget.paid} paid`);
    const lines = fleet.store
      .keys('charges/')
      .filter((key) => fleet.store.peek(key) !== null)
      .flatMap((key) => segmentSchema.safeParse(fleet.store.peek(key)).data?.lines ?? []);
    const unique = new Map(lines.map((line) => [line.key, line.units]));
    const billed = [...unique.values()].reduce((sum, units) => sum + units, 0);
    ensure(billed <= budget.paid, `billed ${billed} of ${budget.paid} paid`);
    ensure(
      tally.units > budget.paid / 2,
      'no more than half of the budget was spent: the proof is not conclusive',
    );
    ensure(loans.length > 0, 'no unit was lent: the proof is not conclusive');
  }
}
