/** Benchmark of budget admission against two baselines: false refusals, overspend, store calls. */
import { EscrowPolicy } from './budgetescrow.js';
import { BenchGroup } from './figure.js';
import { FixedSplit } from './budgetfixedsplit.js';
import { BudgetRun } from './budgetrun.js';
import { makeSchedule, USERS } from './budgetschedule.js';
import { WritePerRequest } from './budgetwriteperrequest.js';

import type { RunCounts, SideCounts } from './budgetrun.js';
import type { FaultKind, UserProfile } from './budgetschedule.js';
import type { BenchContext, Figure } from './figure.js';

const PERCENT = 100;

/** Maximum false refusals without faults, in percent of all requests. */
const MAX_FALSE_PERCENT = 0.1;

/** Maximum false refusals on the smaller side of a partition, in percent of its requests. */
const MAX_FALSE_CUT_PERCENT = 2;

/** Minimum ratio of the false refusals of the fixed split to those of the product. */
const MIN_FALSE_REFUSAL_RATIO = 10;

/** Minimum share of a budget in use or held at its first `exhausted` refusal, in percent. */
const MIN_SPENDABLE_PERCENT = 99.5;

const FAULTS: readonly FaultKind[] = ['calm', 'partition', 'deaths'];

function percent(part: number, whole: number): number {
  return whole > 0 ? (part / whole) * PERCENT : 0;
}

function sideRate({ falseRefusals, requests }: SideCounts): number {
  return percent(falseRefusals, requests);
}

/** Results of one schedule with the product and both baselines. */
interface Comparison {
  readonly own: RunCounts;
  readonly fixed: RunCounts;
  readonly perRequest: RunCounts;
  readonly fleet: EscrowPolicy;
  readonly writes: number;
}

function compare(user: UserProfile, faults: FaultKind, seed: number): Comparison {
  const schedule = makeSchedule(user, faults, seed);
  const fleet = new EscrowPolicy(schedule.budgets);
  const writer = new WritePerRequest(schedule.budgets);
  return {
    own: new BudgetRun(schedule, fleet).run(),
    fixed: new BudgetRun(schedule, new FixedSplit(schedule.budgets)).run(),
    perRequest: new BudgetRun(schedule, writer).run(),
    fleet,
    writes: writer.storeCalls,
  };
}

function commonFigures(prefix: string, result: Comparison): readonly Figure[] {
  const { own, fixed, perRequest, fleet, writes } = result;
  const rate = (counts: RunCounts): number => percent(counts.falseRefusals, counts.requests);
  return [
    {
      name: `${prefix}.overspend`,
      value: own.overspend + fleet.overdrawn,
      unit: 'units',
      bound: 0,
    },
    {
      name: `${prefix}.fixed-split-to-own`,
      value: fixed.falseRefusals / Math.max(1, own.falseRefusals),
      unit: 'times',
      bound: MIN_FALSE_REFUSAL_RATIO,
      comparison: 'at-least',
    },
    { name: `${prefix}.false-refusals.fixed-split`, value: rate(fixed), unit: '%' },
    { name: `${prefix}.false-refusals.write-per-request`, value: rate(perRequest), unit: '%' },
    {
      name: `${prefix}.store-calls`,
      value: fleet.storeCalls / own.requests,
      unit: 'calls/request',
    },
    {
      name: `${prefix}.store-calls.write-per-request`,
      value: writes / own.requests,
      unit: 'calls/request',
    },
    {
      name: `${prefix}.admitted-without-message`,
      value: percent(fleet.admittedLocally, own.requests),
      unit: '%',
    },
    { name: `${prefix}.messages`, value: fleet.messages / own.requests, unit: 'messages/request' },
  ];
}

function ownFigures(
  prefix: string,
  faults: FaultKind,
  { own, fixed }: Comparison,
): readonly Figure[] {
  const rate = percent(own.falseRefusals, own.requests);
  const total: Figure = { name: `${prefix}.false-refusals`, value: rate, unit: '%' };
  if (faults === 'calm') {
    const spendable = own.spendable * PERCENT;
    return [
      { ...total, bound: MAX_FALSE_PERCENT },
      {
        name: `${prefix}.spendable`,
        value: spendable,
        unit: '%',
        bound: MIN_SPENDABLE_PERCENT,
        comparison: 'at-least',
      },
    ];
  }
  if (faults === 'deaths') {
    const held = Math.max(0, ...own.heldAfterDeath) * PERCENT;
    return [total, { name: `${prefix}.held-after-death`, value: held, unit: '% of unspent' }];
  }
  return [
    total,
    {
      name: `${prefix}.false-refusals.smaller-side`,
      value: sideRate(own.smallerSide),
      unit: '%',
      bound: MAX_FALSE_CUT_PERCENT,
    },
    {
      name: `${prefix}.false-refusals.smaller-side.paid-later`,
      value: sideRate(own.smallerSidePaidLater),
      unit: '%',
      bound: MAX_FALSE_CUT_PERCENT,
    },
    {
      name: `${prefix}.false-refusals.smaller-side.fixed-split`,
      value: sideRate(fixed.smallerSide),
      unit: '%',
    },
  ];
}

/** Compares the product's budget rules with two baselines on the same schedules. */
export class BudgetBench extends BenchGroup {
  override readonly name = 'budget';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    return USERS.flatMap((user) =>
      FAULTS.flatMap((faults) => {
        const prefix = `budget.${user.name}.${faults}`;
        const result = compare(user, faults, ctx.seed);
        ctx.say(
          `${prefix}: ${result.own.requests} requests, ${result.own.falseRefusals} falsely refused`,
        );
        return [...ownFigures(prefix, faults, result), ...commonFigures(prefix, result)];
      }),
    );
  }
}
