/** Benchmark of the routing decisions against a small model of workers. */
import { seededRandom } from '../testbed/seed.js';
import {
  AffinityPolicy,
  LeastLoadPolicy,
  PowerOfTwoPolicy,
  RoundRobinPolicy,
} from '../src/route/index.js';
import { BenchGroup } from './figure.js';
import { decisionFigures } from './routedecision.js';
import { Simulation } from './routesimulation.js';

import type { LoadBalancingPolicy } from '../src/route/index.js';
import type { BenchContext, Figure } from './figure.js';
import type { SimulationOptions, SimulationResult, Trouble } from './routesimulation.js';

/** Requests a second and worker that saturate the workers of the model. */
const SATURATING_RATE = 12;

/** Load of every scenario, as a share of the capacity. */
const LOAD = 0.8;

/** Documents that a workspace works on at a time. */
const DOCUMENTS = 12;

/** Stated target of the first token, in milliseconds. */
const FIRST_TOKEN_MS = 590;

const LARGEST_TO_MEAN = 1.25;
const HIT_SHARE_OF_PURE = 0.9;
const RETRY_SHARE = 0.1;

/** Sizes of a run. */
interface Size {
  readonly name: string;
  readonly entries: number;
  readonly workers: number;
  readonly workspaces: number;
  readonly seconds: number;
  readonly reportMs: number;
  /** Whether the baselines run under every trouble, or only without one. */
  readonly everyBaseline: boolean;
}

const SIZES: readonly Size[] = [
  {
    name: 'today',
    entries: 8,
    workers: 6,
    workspaces: 10,
    seconds: 180,
    reportMs: 500,
    everyBaseline: true,
  },
  {
    name: 'x100',
    entries: 800,
    workers: 600,
    workspaces: 1_000,
    seconds: 15,
    reportMs: 1_000,
    everyBaseline: false,
  },
];

const TROUBLES: readonly Trouble[] = ['none', 'silent', 'slow', 'burst', 'noisy'];

/** A policy under test. */
interface Contender {
  readonly name: string;
  readonly make: (random: () => number) => LoadBalancingPolicy;
}

const CHOSEN: Contender = { name: 'affinity', make: (random) => new AffinityPolicy({ random }) };

const PURE: Contender = {
  name: 'pure-affinity',
  make: () => new AffinityPolicy({ bound: Number.POSITIVE_INFINITY }),
};

const BASELINES: readonly Contender[] = [
  PURE,
  { name: 'round-robin', make: (random) => new RoundRobinPolicy(random) },
  { name: 'least-open', make: (random) => new LeastLoadPolicy(random) },
  { name: 'random-of-two', make: (random) => new PowerOfTwoPolicy(random) },
];

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function simulate(
  size: Size,
  trouble: Trouble,
  contender: Contender,
  ratePerWorker: number,
  seed: number,
): SimulationResult {
  const options: SimulationOptions = {
    ...size,
    documentsPerWorkspace: DOCUMENTS,
    rate: size.workers * ratePerWorker,
    trouble,
    random: seededRandom(seed),
    policy: contender.make,
  };
  return new Simulation(options).run();
}

/** Bounds that hold for the chosen policy. */
interface Bounds {
  readonly firstToken: boolean;
  readonly balance: boolean;
}

function figuresOf(
  prefix: string,
  result: SimulationResult,
  bounds: Bounds | undefined,
): readonly Figure[] {
  const figure = (name: string, value: number, unit: string, bound?: number): Figure => ({
    name: `${prefix}.${name}`,
    value,
    unit,
    ...(bound === undefined ? {} : { bound, comparison: 'at-most' as const }),
  });
  const { requests } = result;
  return [
    figure(
      'first-token-p95',
      percentile(result.firstTokens, 0.95),
      'ms',
      bounds?.firstToken ? FIRST_TOKEN_MS : undefined,
    ),
    figure('hit-share', result.hitShare, 'share'),
    figure(
      'largest-to-mean-load',
      result.largestToMean,
      'ratio',
      bounds?.balance ? LARGEST_TO_MEAN : undefined,
    ),
    figure('refused', result.refused / requests, 'share'),
    figure('refused-calm', result.refusedCalm / requests, 'share'),
    figure('retries', result.retries / requests, 'share', bounds && RETRY_SHARE),
    figure('gave-up', result.lost / requests, 'share'),
    figure('interrupted', result.interrupted / requests, 'share'),
  ];
}

/** Measures choices, queues and limits under load and faults. */
export class RouteBench extends BenchGroup {
  override readonly name = 'route';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const [today] = SIZES;
    if (!today) return [];
    // What a worker serves when it is never idle, with the chosen policy.
    const saturated = simulate(today, 'none', CHOSEN, SATURATING_RATE, ctx.seed);
    const capacity = saturated.finishedPerSecond / today.workers;
    const figure = { name: 'worker-capacity', value: capacity, unit: 'requests/s' };
    const simulated = SIZES.flatMap((size) => this.#size(size, capacity * LOAD, ctx));
    return [figure, ...simulated, ...decisionFigures(ctx)];
  }

  #size(size: Size, ratePerWorker: number, { seed, say }: BenchContext): readonly Figure[] {
    const hits = new Map<string, number>();
    const runs = TROUBLES.flatMap((trouble) => {
      const compared = size.everyBaseline || trouble === 'none';
      const contenders = compared ? [CHOSEN, ...BASELINES] : [CHOSEN];
      return contenders.flatMap((contender) => {
        const prefix = `${size.name}.${trouble}.${contender.name}`;
        const began = performance.now();
        const result = simulate(size, trouble, contender, ratePerWorker, seed);
        say(`${prefix}: ${((performance.now() - began) / 1_000).toFixed(1)} s`);
        if (trouble === 'none') hits.set(contender.name, result.hitShare);
        const isCalm = trouble === 'none' || trouble === 'noisy';
        const bounds = contender === CHOSEN ? { firstToken: isCalm, balance: true } : undefined;
        return figuresOf(prefix, result, bounds);
      });
    });
    const share: Figure = {
      name: `${size.name}.none.hit-share-of-pure-affinity`,
      value: (hits.get(CHOSEN.name) ?? 0) / (hits.get(PURE.name) ?? 1),
      unit: 'ratio',
      bound: HIT_SHARE_OF_PURE,
      comparison: 'at-least',
    };
    return [...runs, share];
  }
}
