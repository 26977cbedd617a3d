/** Benchmark of load-balancing policies in a simulation of workers. */
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
import type { SimulationOptions, SimulationResult, FaultKind } from './routesimulation.js';

/** Requests per second and worker that saturate the simulated workers. */
const SATURATING_REQUESTS_PER_SECOND = 12;

/** Request rate of the compared simulations, as a share of the worker capacity. */
const LOAD_SHARE = 0.8;

/** Documents that the requests of one workspace refer to at a time. */
const DOCUMENTS_PER_WORKSPACE = 12;

/** Target for the 95th percentile of the first-token delay, in milliseconds. */
const MAX_FIRST_TOKEN_MS = 590;

const MAX_LARGEST_TO_MEAN_RATIO = 1.25;
const MIN_HIT_SHARE_RATIO = 0.9;
const MAX_RETRY_SHARE = 0.1;

/** Size of a simulated fleet and parameters of its runs. */
interface Size {
  readonly name: string;
  readonly entries: number;
  readonly workers: number;
  readonly workspaces: number;
  readonly seconds: number;
  readonly reportMs: number;
  /** Whether the baselines run under every fault, or only without faults. */
  readonly baselinesUnderFaults: boolean;
}

const SIZES: readonly Size[] = [
  {
    name: 'today',
    entries: 8,
    workers: 6,
    workspaces: 10,
    seconds: 180,
    reportMs: 500,
    baselinesUnderFaults: true,
  },
  {
    name: 'x100',
    entries: 800,
    workers: 600,
    workspaces: 1_000,
    seconds: 15,
    reportMs: 1_000,
    baselinesUnderFaults: false,
  },
];

const FAULTS: readonly FaultKind[] = ['none', 'silent', 'slow', 'burst', 'noisy'];

/** A policy that is compared. */
interface Candidate {
  readonly name: string;
  readonly make: (random: () => number) => LoadBalancingPolicy;
}

const CHOSEN: Candidate = { name: 'affinity', make: (random) => new AffinityPolicy({ random }) };

const PURE_AFFINITY: Candidate = {
  name: 'pure-affinity',
  make: () => new AffinityPolicy({ bound: Number.POSITIVE_INFINITY }),
};

const BASELINES: readonly Candidate[] = [
  PURE_AFFINITY,
  { name: 'round-robin', make: (random) => new RoundRobinPolicy(random) },
  { name: 'least-open', make: (random) => new LeastLoadPolicy(random) },
  { name: 'random-of-two', make: (random) => new PowerOfTwoPolicy(random) },
];

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function simulate(
  size: Size,
  fault: FaultKind,
  candidate: Candidate,
  ratePerWorker: number,
  seed: number,
): SimulationResult {
  const options: SimulationOptions = {
    ...size,
    documentsPerWorkspace: DOCUMENTS_PER_WORKSPACE,
    rate: size.workers * ratePerWorker,
    fault,
    random: seededRandom(seed),
    policy: candidate.make,
  };
  return new Simulation(options).run();
}

/** Which figures of the chosen policy have a bound. */
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
      bounds?.firstToken ? MAX_FIRST_TOKEN_MS : undefined,
    ),
    figure('hit-share', result.hitShare, 'share'),
    figure(
      'largest-to-mean-load',
      result.largestToMean,
      'ratio',
      bounds?.balance ? MAX_LARGEST_TO_MEAN_RATIO : undefined,
    ),
    figure('refused', result.refused / requests, 'share'),
    figure('refused-calm', result.refusedOthers / requests, 'share'),
    figure('retries', result.retries / requests, 'share', bounds && MAX_RETRY_SHARE),
    figure('gave-up', result.lost / requests, 'share'),
    figure('interrupted', result.interrupted / requests, 'share'),
  ];
}

/** Compares the policies under load and faults, and measures the time of a decision. */
export class RouteBench extends BenchGroup {
  override readonly name = 'route';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const [today] = SIZES;
    if (!today) return [];
    // The capacity of a worker is its throughput at saturation, with the chosen policy.
    const saturated = simulate(today, 'none', CHOSEN, SATURATING_REQUESTS_PER_SECOND, ctx.seed);
    const capacity = saturated.finishedPerSecond / today.workers;
    const figure = { name: 'worker-capacity', value: capacity, unit: 'requests/s' };
    const simulated = SIZES.flatMap((size) => this.#size(size, capacity * LOAD_SHARE, ctx));
    return [figure, ...simulated, ...decisionFigures(ctx)];
  }

  #size(size: Size, ratePerWorker: number, { seed, say }: BenchContext): readonly Figure[] {
    const hits = new Map<string, number>();
    const runs = FAULTS.flatMap((fault) => {
      const compared = size.baselinesUnderFaults || fault === 'none';
      const candidates = compared ? [CHOSEN, ...BASELINES] : [CHOSEN];
      return candidates.flatMap((candidate) => {
        const prefix = `${size.name}.${fault}.${candidate.name}`;
        const began = performance.now();
        const result = simulate(size, fault, candidate, ratePerWorker, seed);
        say(`${prefix}: ${((performance.now() - began) / 1_000).toFixed(1)} s`);
        if (fault === 'none') hits.set(candidate.name, result.hitShare);
        const isCalm = fault === 'none' || fault === 'noisy';
        const bounds = candidate === CHOSEN ? { firstToken: isCalm, balance: true } : undefined;
        return figuresOf(prefix, result, bounds);
      });
    });
    const share: Figure = {
      name: `${size.name}.none.hit-share-of-pure-affinity`,
      value: (hits.get(CHOSEN.name) ?? 0) / (hits.get(PURE_AFFINITY.name) ?? 1),
      unit: 'ratio',
      bound: MIN_HIT_SHARE_RATIO,
      comparison: 'at-least',
    };
    return [...runs, share];
  }
}
