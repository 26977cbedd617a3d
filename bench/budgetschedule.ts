/** Seeded schedules of requests, payments and faults for the traffic of both users. */
import { MINUTE_MS, SECOND_MS } from '../src/kernel/index.js';
import { seededRandom } from '../testbed/seed.js';

/** Duration of a schedule, in milliseconds. */
export const SCHEDULE_DURATION_MS = 150 * MINUTE_MS;

/** Start of the partition, in milliseconds. */
export const PARTITION_START_MS = 60 * MINUTE_MS;

/** End of the partition, in milliseconds. */
export const PARTITION_END_MS = 90 * MINUTE_MS;

/** Interval between `tick` events, in milliseconds. */
const TICK_INTERVAL_MS = 10 * SECOND_MS;

/** Time from a crash to the restart and the recovery of the entry, in milliseconds. */
const TAKEOVER_DELAY_MS = 30 * SECOND_MS;

/** Data centre of each of the eight entries; three, three and two entries per data centre. */
export const ENTRY_DATA_CENTRES = [0, 1, 2, 0, 1, 2, 0, 1] as const;

/** Data centre that the partition cuts off; it has two entries. */
export const CUT_OFF_DATA_CENTRE = 2;

/** Traffic shares of the ten workspaces, of which three are large. */
const WORKSPACE_SHARES = [0.28, 0.22, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05] as const;

/** Share of a workspace's requests that arrive in its home data centre. */
const HOME_SHARE = 0.6;

/** Traffic of a user. */
export interface UserProfile {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** Maximum prompt size, in bytes. */
  readonly promptBytes: number;
  readonly outputLimit: number;
  /** Maximum duration of an answer, in milliseconds. */
  readonly answerMs: number;
}

/** The two users whose traffic is modelled. */
export const USERS: readonly UserProfile[] = [
  {
    name: 'sava',
    requestsPerSecond: 6,
    promptBytes: 2_400,
    outputLimit: 1_024,
    answerMs: 20_000,
  },
  {
    name: 'chikugo',
    requestsPerSecond: 9,
    promptBytes: 900,
    outputLimit: 512,
    answerMs: 9_000,
  },
];

/** Kind of faults in a schedule. */
export type FaultKind = 'calm' | 'partition' | 'deaths';

/** The single budget of a workspace. */
export interface BenchBudget {
  readonly name: string;
  readonly share: number;
  readonly home: number;
  readonly paid: number;
}

/** A request. */
export interface BenchRequest {
  readonly id: number;
  readonly budget: number;
  readonly centre: number;
  /** Random number in [0, 1) that selects the entry within the data centre. */
  readonly pick: number;
  readonly worstCase: number;
  readonly used: number;
}

/** An event of a schedule; times are in milliseconds. */
export type BenchEvent =
  | { readonly type: 'arrive' | 'finish'; readonly at: number; readonly req: BenchRequest }
  | { readonly type: 'tick'; readonly at: number }
  | { readonly type: 'topUp'; readonly at: number; readonly budget: number; readonly units: number }
  | { readonly type: 'cut' | 'heal'; readonly at: number }
  | { readonly type: 'die' | 'recover'; readonly at: number; readonly entry: number };

/** A schedule. */
export interface BenchSchedule {
  readonly user: UserProfile;
  readonly faults: FaultKind;
  readonly budgets: readonly BenchBudget[];
  readonly events: readonly BenchEvent[];
}

/** Initial payments as multiples of the expected use; some budgets are topped up later. */
const PAID_FACTORS = [6, 0.7, 3, 4, 0.6, 0.5, 4, 1.4, 0.5, 4] as const;

/** Later payments, as multiples of the expected use. */
const TOP_UPS = [
  { budget: 5, factor: 1 },
  { budget: 8, factor: 0.4 },
] as const;

function meanUnits(user: UserProfile): number {
  const prompt = (user.promptBytes * 0.55) / 4;
  return prompt + user.outputLimit * 0.45;
}

function makeRequest(
  user: UserProfile,
  id: number,
  random: () => number,
  budgets: readonly BenchBudget[],
): BenchRequest {
  const chosen = random();
  let sum = 0;
  const found = budgets.findIndex(({ share }) => {
    sum += share;
    return chosen < sum;
  });
  const budget = found < 0 ? budgets.length - 1 : found;
  const home = budgets[budget]?.home ?? 0;
  const away = random() < HOME_SHARE ? 0 : 1 + Math.floor(random() * 2);
  const prompt = Math.floor(user.promptBytes * (0.1 + 0.9 * random()));
  const output = Math.floor(user.outputLimit * random() * 0.9) + 1;
  return {
    id,
    budget,
    centre: (home + away) % 3,
    pick: random(),
    worstCase: prompt + user.outputLimit,
    used: Math.ceil(prompt / 4) + output,
  };
}

function traffic(
  user: UserProfile,
  random: () => number,
  budgets: readonly BenchBudget[],
): readonly BenchEvent[] {
  const events: BenchEvent[] = [];
  let at = 0;
  for (let id = 0; at < SCHEDULE_DURATION_MS; id += 1) {
    // The rate varies by a third around its mean, with a period of one hour.
    const wave = 1 + Math.sin((at / (60 * MINUTE_MS)) * 2 * Math.PI) / 3;
    at += (-Math.log(1 - random()) / (user.requestsPerSecond * wave)) * SECOND_MS;
    const req = makeRequest(user, id, random, budgets);
    events.push({ type: 'arrive', at, req });
    events.push({ type: 'finish', at: at + user.answerMs * (0.2 + 0.8 * random()), req });
  }
  return events;
}

function faultEvents(faults: FaultKind, random: () => number): readonly BenchEvent[] {
  if (faults === 'partition') {
    return [
      { type: 'cut', at: PARTITION_START_MS },
      { type: 'heal', at: PARTITION_END_MS },
    ];
  }
  if (faults === 'calm') return [];
  return [30, 55, 80, 110].flatMap((minute): readonly BenchEvent[] => {
    const at = minute * MINUTE_MS + random() * MINUTE_MS;
    const entry = Math.floor(random() * ENTRY_DATA_CENTRES.length);
    return [
      { type: 'die', at, entry },
      { type: 'recover', at: at + TAKEOVER_DELAY_MS, entry },
    ];
  });
}

function payments(
  expected: readonly number[],
  faults: FaultKind,
  random: () => number,
): readonly BenchEvent[] {
  return TOP_UPS.map(({ budget, factor }) => {
    // With a partition, payments are made while the smaller side is cut off.
    const from = faults === 'partition' ? PARTITION_START_MS : SCHEDULE_DURATION_MS / 4;
    const at = from + random() * (PARTITION_END_MS - PARTITION_START_MS);
    const units = Math.ceil((expected[budget] ?? 0) * factor);
    return { type: 'topUp', at, budget, units } as const;
  });
}

/**
 * Generates a schedule.
 * @param user - user whose traffic is modelled
 * @param faults - kind of faults
 * @param seed - seed of the random numbers
 * @returns the schedule, with its events sorted by time
 */
export function makeSchedule(user: UserProfile, faults: FaultKind, seed: number): BenchSchedule {
  const random = seededRandom(seed);
  const total = user.requestsPerSecond * (SCHEDULE_DURATION_MS / SECOND_MS) * meanUnits(user);
  const expected = WORKSPACE_SHARES.map((share) => share * total);
  const budgets = WORKSPACE_SHARES.map((share, index) => ({
    name: `budget-${index}`,
    share,
    home: index % 3,
    paid: Math.ceil((expected[index] ?? 0) * (PAID_FACTORS[index] ?? 1)),
  }));
  const ticks = Array.from({ length: SCHEDULE_DURATION_MS / TICK_INTERVAL_MS }, (_, index) => ({
    type: 'tick' as const,
    at: index * TICK_INTERVAL_MS,
  }));
  const events = [
    ...traffic(user, random, budgets),
    ...faultEvents(faults, random),
    ...payments(expected, faults, random),
    ...ticks,
  ];
  return { user, faults, budgets, events: events.sort((a, b) => a.at - b.at) };
}
