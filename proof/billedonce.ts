/**
 * Proof: each answered request is billed exactly once while daemons are killed or suspended, and
 * while the store is unavailable.
 */
import { setTimeout as delay } from 'node:timers/promises';

import { pageSchema, shardSchema } from '../src/budget/index.js';
import { Fleet } from '../testbed/fleet.js';
import { RetryingCallers } from '../testbed/retryingcallers.js';
import { seededRandom } from '../testbed/seed.js';
import { waitFor } from '../testbed/wait.js';
import { ensure, Proof } from './proof.js';

import type { ChargeLine } from '../src/budget/index.js';
import type { ProofContext } from './proof.js';

const DAEMONS = 6;
const UNITS = 10_000_000;
const CALLERS = 24;

/** Maximum time until every charge is on the statement, in milliseconds. */
const SETTLE_TIMEOUT_MS = 60_000;

/** Time for which a daemon is suspended; longer than a takeover takes, in milliseconds. */
const FREEZE_DURATION_MS = 9_000;

/** Exit code of a daemon that was fenced after a takeover. */
const FENCED_EXIT_CODE = 3;

/**
 * Daemons are killed, suspended until they have been taken over, and run while store responses are
 * lost and the store is unavailable.
 */
export class BilledOnceProof extends Proof {
  override readonly name = 'billed-once';

  override readonly requirement = 'each request is billed exactly once';

  override readonly short = false;

  override async run(ctx: ProofContext): Promise<void> {
    // Fleet, callers and faults use separate random streams, so that the fault schedule does not
    // depend on the load.
    const fleet = await Fleet.start({
      daemons: DAEMONS,
      units: UNITS,
      random: seededRandom(ctx.seed + 1),
      tokenMs: 10,
    });
    try {
      const load = new RetryingCallers(fleet, CALLERS, seededRandom(ctx.seed + 2));
      load.start();
      await delay(1_000);
      await this.#loseAnswers(fleet, ctx);
      await this.#kill(fleet, ctx);
      await this.#freeze(fleet, ctx);
      await this.#outage(fleet, ctx);
      await load.stop();
      ctx.say(`${load.answered.length} requests received a complete answer`);
      await this.#check(fleet, load.answered, ctx);
    } finally {
      await fleet.stop();
    }
  }

  async #loseAnswers(fleet: Fleet, ctx: ProofContext): Promise<void> {
    fleet.store.setFaults({ loseAnswers: 0.3 });
    await delay(2_000);
    ctx.say('30% of the responses to store writes are lost from now on');
  }

  async #kill(fleet: Fleet, ctx: ProofContext): Promise<void> {
    const victim = fleet.daemon(1 + Math.floor(ctx.random() * 2));
    await delay(200 + ctx.random() * 300);
    victim.child.signal('SIGKILL');
    await victim.child.ended();
    ctx.say(`${victim.options.name} killed with streams open`);
    await delay(7_000);
    fleet.store.setFaults({ loseAnswers: 0 });
    await fleet.addDaemon('entry-7', 'dc-1');
    await delay(1_000);
  }

  async #freeze(fleet: Fleet, ctx: ProofContext): Promise<void> {
    const victim = fleet.daemon(3 + Math.floor(ctx.random() * 2));
    victim.child.signal('SIGSTOP');
    await delay(FREEZE_DURATION_MS);
    victim.child.signal('SIGCONT');
    const code = await Promise.race([victim.child.ended(), delay(20_000, -1)]);
    ctx.say(
      `${victim.options.name} suspended until it was taken over, then exited with code ${code}`,
    );
    ensure(code === FENCED_EXIT_CODE, `a daemon that was taken over exited with code ${code}`);
  }

  async #outage(fleet: Fleet, ctx: ProofContext): Promise<void> {
    fleet.store.setFaults({ outage: true });
    await delay(3_000);
    const victim = fleet.daemons.at(-1);
    victim?.child.signal('SIGKILL');
    await delay(4_000);
    fleet.store.setFaults({ outage: false });
    ctx.say('the store was unavailable for 7 s, and a daemon was killed during that time');
    await delay(1_000);
  }

  #duplicates(fleet: Fleet): number {
    return fleet.store
      .keys('statements/')
      .map((key) => pageSchema.parse(fleet.store.peek(key)))
      .reduce((sum, { duplicates }) => sum + duplicates.length, 0);
  }

  async #check(fleet: Fleet, answered: readonly string[], ctx: ProofContext): Promise<void> {
    const reader = fleet.daemons.findIndex(({ child }) => child.running);
    const read = async (): Promise<readonly ChargeLine[]> =>
      fleet.daemon(reader).operator<readonly ChargeLine[]>('workspaces/shop/statement');
    const expected = new Set(answered);
    const agrees = async (): Promise<boolean> => {
      const lines = await read();
      const billed = lines.reduce((sum, { units }) => sum + units, 0);
      const { spent } = await fleet.budget(reader);
      return lines.length === expected.size && spent === billed;
    };
    await waitFor(
      'the statement matches the answered requests and the budget',
      agrees,
      SETTLE_TIMEOUT_MS,
    ).catch(() => undefined);
    const lines = await read();
    const keys = lines.map(({ key }) => key);
    const missing = [...expected].filter((key) => !keys.includes(key));
    const unanswered = keys.filter((key) => !expected.has(key));
    const billed = lines.reduce((sum, { units }) => sum + units, 0);
    const budget = await fleet.budget(reader);
    ctx.say(`${lines.length} lines, ${billed} units billed, ${budget.spent} units spent`);
    ctx.say(`${this.#duplicates(fleet)} duplicate lines were recorded without being billed`);
    ensure(missing.length === 0, `not billed: ${missing.slice(0, 5).join(', ')}`);
    ensure(
      unanswered.length === 0,
      `billed without an answer: ${unanswered.slice(0, 5).join(', ')}`,
    );
    ensure(new Set(keys).size === keys.length, 'a request is billed twice');
    ensure(budget.spent === billed, `spent ${budget.spent}, but the statement bills ${billed}`);
    const shards = fleet.store
      .keys('budgets/')
      .map((key) => shardSchema.parse(fleet.store.peek(key)));
    shards
      .flatMap((shard) => shard.budgets)
      .forEach(({ rows, paid, retired, credited }) => {
        const outstanding = rows.reduce(
          (sum, row) => sum + row.granted - row.returned,
          retired - credited,
        );
        ensure(outstanding <= paid, `granted ${outstanding} of ${paid} paid units`);
      });
    const held = await fleet.daemon(reader).operator<readonly { readonly units: number }[]>('held');
    ctx.say(`held: ${held.map(({ units }) => units).join(' + ') || 'nothing'}`);
  }
}
