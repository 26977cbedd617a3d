/** Proof: the closing statement of a removed workspace contains every charge exactly once. */
import { setTimeout as delay } from 'node:timers/promises';

import { callModel } from '../testbed/caller.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { waitFor } from '../testbed/wait.js';
import { ensure, Proof } from './proof.js';

import type { ChargeLine } from '../src/budget/index.js';
import type { PlanActionResult, PlanState } from '../src/plan/index.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';
import type { ReceivedAnswer } from '../testbed/caller.js';
import type { ProofContext } from './proof.js';

const DAEMONS = 4;
const UNITS = 200_000;
const PLAN = 'shop-leaves';
const CALLERS = 40;
const OPEN_ANSWER_TOKENS = 120;

/** Time after which every daemon has read the platform's new instance list, in milliseconds. */
const LIST_REFRESH_DELAY_MS = 6_000;

/** Output of the answers that end about when their daemon is killed, in tokens. */
const LAST_ANSWER_TOKENS = 60;

const TOKEN_MS = 10;

/** Maximum time until the plan is done, in milliseconds. */
const PLAN_TIMEOUT_MS = 45_000;

/** Requests continue while the workspace closes; the executor and another daemon are killed. */
export class ClosingProof extends Proof {
  override readonly name = 'closing';

  override readonly requirement =
    'each request is billed exactly once, up to the closing statement';

  override readonly short = false;

  override async run(ctx: ProofContext): Promise<void> {
    const fleet = await Fleet.start({ daemons: DAEMONS, units: UNITS, tokenMs: TOKEN_MS });
    try {
      const plan = { kind: 'workspace', name: PLAN, workspace: 'shop' } as const;
      await fleet.publish({ ...fleet.documents, plans: [plan] });
      await waitFor('the plan is armed', () => ClosingProof.#plan(fleet).phase === 'armed');
      await this.#close(ctx, fleet);
    } finally {
      await fleet.stop();
    }
  }

  async #close(ctx: ProofContext, fleet: Fleet): Promise<void> {
    const [starter, dying, ...others] = await this.#killExecutor(fleet);
    if (!starter || !dying) throw new Error('the fleet is too small');
    const survivors = [starter, ...others];
    const urls = survivors.map(({ url }) => url);
    // The instance list no longer contains the daemon that still accepts requests and is killed
    // later, before it has delivered its charges.
    fleet.list.set(survivors.map(({ listed }) => listed));
    await delay(LIST_REFRESH_DELAY_MS);
    const early = await Promise.all(
      urls.map((url, index) => ClosingProof.#ask(url, `early-${index}`, 5)),
    );
    const last = Array.from({ length: CALLERS }, (_, index) =>
      ClosingProof.#ask(dying.url, `last-${index}`, LAST_ANSWER_TOKENS),
    );
    const open = urls.map((url, index) =>
      ClosingProof.#ask(url, `open-${index}`, OPEN_ANSWER_TOKENS),
    );
    await starter.order<PlanActionResult>(`plans/${PLAN}`, {
      action: 'start',
      operation: 'close-1',
    });
    await waitFor('the plan is accepted', () => ClosingProof.#plan(fleet).acceptedAt !== null);
    // Kills the daemon as soon as one of its answers has ended, so that its last charges are held
    // only by its replica.
    await Promise.any(last);
    dying.child.signal('SIGKILL');
    const answers = [...early, ...(await Promise.all(open))];
    const cut = answers.filter((answer) => !answer.isComplete);
    ensure(cut.length === 0, `${cut.length} answers are incomplete`);
    const ended = (await Promise.all(last)).filter((answer) => answer.isComplete);
    ctx.say(`${ended.length} answers of the killed daemon were complete`);
    await this.#checkRefusals(urls);
    await waitFor(
      'the plan is done',
      () => ClosingProof.#plan(fleet).phase === 'done',
      PLAN_TIMEOUT_MS,
    );
    await this.#checkStatement(ctx, fleet, starter.url, [...answers, ...ended]);
  }

  /**
   * Kills the executor of the plan and waits until another daemon has taken it over.
   * @returns the remaining daemons, the new executor first
   */
  async #killExecutor(fleet: Fleet): Promise<readonly DaemonProcess[]> {
    const { executor } = ClosingProof.#plan(fleet);
    const isExecutor = ({ options }: DaemonProcess): boolean =>
      ClosingProof.#plan(fleet).executor.startsWith(`${options.name}~`);
    const dying = fleet.daemons.find(isExecutor);
    dying?.child.signal('SIGKILL');
    const hasMoved = (): boolean => ClosingProof.#plan(fleet).executor !== executor;
    await waitFor('another daemon takes the plan over', hasMoved);
    const others = fleet.daemons.filter((daemon) => daemon !== dying);
    return [...others.filter(isExecutor), ...others.filter((daemon) => !isExecutor(daemon))];
  }

  async #checkRefusals(urls: readonly string[]): Promise<void> {
    const late = await Promise.all(
      urls.map((url, index) => ClosingProof.#ask(url, `late-${index}`, 5)),
    );
    ensure(
      late.every(({ code, outcome }) => code === 'workspace-closed' && outcome === 'not-run'),
      `requests after acceptance were answered with ${late.map(({ code }) => code).join(', ')}`,
    );
  }

  async #checkStatement(
    ctx: ProofContext,
    fleet: Fleet,
    url: string,
    whole: readonly ReceivedAnswer[],
  ): Promise<void> {
    const { closing } = ClosingProof.#plan(fleet);
    const daemon = fleet.daemons.find((candidate) => candidate.url === url);
    const lines =
      (await daemon?.operator<readonly ChargeLine[]>('workspaces/shop/statement')) ?? [];
    const units = lines.reduce((sum, line) => sum + line.units, 0);
    const keys = new Set(lines.map(({ key }) => key));
    ensure(closing !== null, 'there is no closing statement');
    ctx.say(`${closing.charges} charges, ${closing.units} units, refund ${closing.refund}`);
    ensure(keys.size === lines.length, 'a request is on the statement twice');
    ensure(
      whole.every(({ key }) => keys.has(key)),
      'an answer is missing on the statement',
    );
    const maxLines = whole.length + CALLERS;
    ensure(lines.length <= maxLines, `${lines.length} lines, at most ${maxLines} answers`);
    ensure(
      closing.charges === lines.length,
      `closed with ${closing.charges} of ${lines.length} charges`,
    );
    ensure(closing.units === units, `closed with ${closing.units} of ${units} units`);
    ensure(closing.refund === UNITS - units, `refund ${closing.refund}, expected ${UNITS - units}`);
  }

  static #plan(fleet: Fleet): PlanState {
    return fleet.store.peek(`plans/${PLAN}`) as PlanState;
  }

  static #ask(url: string, key: string, maxTokens: number): Promise<ReceivedAnswer> {
    return callModel({ url, apiKey: API_KEY, model: 'drafts', prompt: key, maxTokens, key });
  }
}
