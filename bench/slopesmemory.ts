/** Marginal costs measured in this process: memory and processor time of configured objects. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { emptyEscrow } from '../src/budget/index.js';
import { Configuration, documentsSchema, EMPTY_MANIFEST } from '../src/config/index.js';
import { sha256 } from '../src/kernel/index.js';
import { AffinityPolicy, RetryBudget, RouteScheduler } from '../src/route/index.js';
import { slopeFigures } from './slope.js';

import type { Figure } from './figure.js';
import type { Point } from './slope.js';

const BUDGET_SIZES = [4_000, 12_000, 42_000] as const;
const WORKSPACE_SIZES = [500, 2_000, 8_000] as const;
const WORKER_SIZES = [50, 200, 1_000] as const;
/** Copies over which a cost is averaged, to reduce noise. */
const COPIES = 5;

const REPORT_ROUNDS = 200;
const BYTES_PER_KB = 1_000;

// Garbage is collected explicitly, so that only reachable memory is counted.
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Cost of creating a value and keeping it in memory. */
interface HeldCost {
  readonly bytes: number;
  readonly micros: number;
}

function measureHeld(make: () => unknown): HeldCost {
  make();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const cpu = process.cpuUsage();
  const kept = Array.from({ length: COPIES }, make);
  const { user, system } = process.cpuUsage(cpu);
  collectGarbage();
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  // Using `kept` after the measurement keeps its values reachable until then.
  return { bytes: bytes / kept.length, micros: (user + system) / kept.length };
}

function configuration(workspaces: number, budgets: number): Configuration {
  const names = Array.from({ length: budgets }, (_, index) => `budget-${index}`);
  const documents = documentsSchema.parse({
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      name: `workspace-${index}`,
      keys: names
        .filter((_name, budget) => budget % workspaces === index)
        .map((budget) => ({ sha256: sha256(budget), budget })),
    })),
    budgets: names.map((name, index) => ({ name, workspace: `workspace-${index % workspaces}` })),
  });
  return new Configuration(EMPTY_MANIFEST, documents);
}

function scheduler(workers: number): RouteScheduler {
  const made = new RouteScheduler({
    policy: new AffinityPolicy(),
    retries: new RetryBudget(),
    daemons: () => 8,
    random: () => 0.5,
  });
  const documents = Array.from({ length: workers }, (_, index) => ({
    name: `worker-${index}`,
    state: 'serving' as const,
    concurrency: 64,
  }));
  [...made.handle({ type: 'workers', documents }, 0)].forEach(() => undefined);
  return made;
}

function reportMicros(workers: number): number {
  const made = scheduler(workers);
  const began = process.cpuUsage();
  for (let round = 1; round <= REPORT_ROUNDS; round += 1) {
    for (let index = 0; index < workers; index += 1) {
      const report = { open: round % 64, ageMs: 300 };
      const event = { type: 'report', worker: `worker-${index}`, report } as const;
      [...made.handle(event, round * 500)].forEach(() => undefined);
    }
  }
  const { user, system } = process.cpuUsage(began);
  return (user + system) / REPORT_ROUNDS;
}

function heldFigures(
  name: string,
  sizes: readonly number[],
  make: (size: number) => unknown,
): readonly Figure[] {
  const held = sizes.map((size) => ({ size, ...measureHeld(() => make(size)) }));
  const memory: readonly Point[] = held.map(({ size, bytes }) => ({
    size,
    cost: bytes / BYTES_PER_KB,
  }));
  const processor: readonly Point[] = held.map(({ size, micros }) => ({ size, cost: micros }));
  return [
    ...slopeFigures(`${name}.memory`, 'KB', memory),
    ...slopeFigures(`${name}.processor`, 'us', processor),
  ];
}

/**
 * Measures the memory and processor time of budgets, workspaces and workers in a daemon.
 * @param say - prints progress
 * @returns measurements and slopes
 */
export function memorySlopes(say: (text: string) => void): readonly Figure[] {
  say('budgets, workspaces, workers');
  configuration(100, 1_000);
  scheduler(100);
  reportMicros(100);
  const escrows = (size: number): unknown =>
    new Map(
      Array.from({ length: size }, (_, index) => {
        const name = `budget-${index}`;
        return [name, emptyEscrow(name)] as const;
      }),
    );
  return [
    ...heldFigures('budget.configured', BUDGET_SIZES, (size) => configuration(100, size)),
    ...heldFigures('budget.held', BUDGET_SIZES, escrows),
    ...heldFigures('workspace', WORKSPACE_SIZES, (size) => configuration(size, 500)),
    ...heldFigures('worker', WORKER_SIZES, scheduler),
    ...slopeFigures(
      'worker.report',
      'us',
      WORKER_SIZES.map((size) => ({ size, cost: reportMicros(size) })),
    ),
  ];
}
