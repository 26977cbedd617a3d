/** Benchmark of the configuration: propagation, store calls and checks of service files. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import hdr from 'hdr-histogram-js';
import { stringify } from 'yaml';

import {
  Configuration,
  splitIntoPieces,
  documentsSchema,
  EMPTY_MANIFEST,
  joinDocuments,
  MANIFEST_KEY,
  parseStoredManifest,
} from '../src/config/index.js';
import { sha256 } from '../src/kernel/index.js';
import { runCli } from '../testbed/cli.js';
import { Fleet } from '../testbed/fleet.js';
import { BenchGroup } from './figure.js';

import type { Documents, PublicationView } from '../src/config/index.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';
import type { BenchContext, Figure } from './figure.js';

const DAEMONS = 8;
const PUBLICATIONS = 60;
const SERVICE_FILES = 500;
const BUDGETS_PER_FILE = 4;

/** Size of the fleet for which the configuration is designed. */
const FULL_WORKSPACES = 500;
const FULL_BUDGETS = 42_000;

/** Number of timed runs, of which the median is reported. */
const REPEATS = 7;

/** Interval between polls of a daemon, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Delay between publications, in milliseconds. */
const PUBLICATION_DELAY_MS = 150;

/** Bound on the time until all daemons apply a revision, 99th percentile, in milliseconds. */
const IN_FORCE_BOUND_MS = 2_000;

/** Bound on the time to check 500 service files, in milliseconds. */
const CHECK_BOUND_MS = 2_000;

async function untilInForce(daemon: DaemonProcess, revision: number): Promise<void> {
  let found = 0;
  while (found < revision) {
    // Polls of one daemon run sequentially.
    /* eslint-disable no-await-in-loop */
    await delay(POLL_INTERVAL_MS);
    found = (await daemon.operator<{ readonly revision: number }>('status')).revision;
    /* eslint-enable no-await-in-loop */
  }
}

/** Waits until the store holds a revision; resolves with the time at which it does. */
async function untilAccepted(fleet: Fleet, revision: number): Promise<number> {
  while (parseStoredManifest(fleet.store.peek(MANIFEST_KEY)).manifest.revision < revision) {
    // eslint-disable-next-line no-await-in-loop
    await delay(1);
  }
  return performance.now();
}

/** Publishes once; resolves with the milliseconds from acceptance until all daemons apply it. */
async function publishOnce(fleet: Fleet, round: number): Promise<number> {
  const through = fleet.daemon(round % DAEMONS);
  const base = (await through.operator<{ readonly revision: number }>('status')).revision;
  const budgets = [...fleet.documents.budgets, { name: `budget-${round}`, workspace: 'shop' }];
  const documents: Documents = { ...fleet.documents, budgets };
  const order = { operation: `bench-${round}`, author: 'bench', base, documents };
  const accepted = untilAccepted(fleet, base + 1);
  const everywhere = fleet.daemons.map((daemon) => untilInForce(daemon, base + 1));
  await through.order<PublicationView>('publish', order);
  await Promise.all(everywhere);
  return performance.now() - (await accepted);
}

async function idleReads(fleet: Fleet, ms: number): Promise<number> {
  const before = fleet.store.counts;
  await delay(ms);
  const { reads, watches } = fleet.store.counts;
  return (reads + watches - before.reads - before.watches) / (ms / 1_000);
}

async function measurePropagation(ctx: BenchContext): Promise<readonly Figure[]> {
  const dataCentres = ['dc-1', 'dc-2'];
  const fleet = await Fleet.start({ daemons: DAEMONS, dataCentres, units: 0, logLevel: 'warn' });
  try {
    const idle = await idleReads(fleet, 4_000);
    ctx.say(`${PUBLICATIONS} publications on ${DAEMONS} daemons`);
    const took = hdr.build({ numberOfSignificantValueDigits: 3 });
    const before = fleet.store.counts;
    const began = performance.now();
    for (let round = 0; round < PUBLICATIONS; round += 1) {
      // Publications run sequentially, so that each is measured on its own.
      /* eslint-disable no-await-in-loop */
      took.recordValue(Math.ceil(await publishOnce(fleet, round)));
      await delay(PUBLICATION_DELAY_MS);
      /* eslint-enable no-await-in-loop */
    }
    const seconds = (performance.now() - began) / 1_000;
    const after = fleet.store.counts;
    const calls = after.reads + after.watches - before.reads - before.watches - idle * seconds;
    const each = (total: number): number => total / PUBLICATIONS;
    return [
      {
        name: 'accepted to in force on 8 daemons, 99th percentile',
        value: took.getValueAtPercentile(99),
        unit: 'ms',
        bound: IN_FORCE_BOUND_MS,
        comparison: 'at-most',
      },
      {
        name: 'accepted to in force on 8 daemons, median',
        value: took.getValueAtPercentile(50),
        unit: 'ms',
      },
      { name: 'store reads and watches a second without changes', value: idle, unit: '1/s' },
      { name: 'store reads and watches a change, beyond those', value: each(calls), unit: 'calls' },
      {
        name: 'store writes a change',
        value: each(after.writes - before.writes),
        unit: 'calls',
      },
      {
        name: 'bytes out of the store a change',
        value: each(after.bytesOut - before.bytesOut),
        unit: 'bytes',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

function serviceFile(index: number, budgets: number): string {
  const workspace = `workspace-${index}`;
  const names = Array.from({ length: budgets }, (_, at) => `budget-${index}-${at}`);
  const keys = names.map((budget) => ({ sha256: sha256(budget), budget }));
  return stringify({
    workspaces: [{ name: workspace, keys, concurrency: 8 }],
    budgets: names.map((name) => ({ name, workspace })),
    routes: [{ name: `route-${index}`, kind: 'service', idempotent: false }],
    upstreams: [
      {
        name: `upstream-${index}`,
        route: `route-${index}`,
        url: 'http://127.0.0.1:9000',
        dataCentre: 'dc-1',
      },
    ],
  });
}

async function timeCheck(ctx: BenchContext, budgets: number): Promise<number> {
  ctx.say(`check of ${SERVICE_FILES} service files of ${budgets} budgets`);
  const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-bench-'));
  try {
    await Promise.all(
      Array.from({ length: SERVICE_FILES }, (_, index) =>
        writeFile(join(dir, `service-${index}.comfreyreel.yaml`), serviceFile(index, budgets)),
      ),
    );
    const began = performance.now();
    const run = await runCli(['check', dir]);
    const value = Math.round(performance.now() - began);
    if (run.code !== 0) throw new Error(run.stderr);
    return value;
  } finally {
    await rm(dir, { recursive: true, force: true });
  }
}

async function measureCheck(ctx: BenchContext): Promise<readonly Figure[]> {
  const each = FULL_BUDGETS / FULL_WORKSPACES;
  return [
    {
      name: 'check of 500 service files, from start to exit',
      value: await timeCheck(ctx, BUDGETS_PER_FILE),
      unit: 'ms',
      bound: CHECK_BOUND_MS,
      comparison: 'at-most',
    },
    {
      name: 'check of 500 service files that declare 42,000 budgets',
      value: await timeCheck(ctx, each),
      unit: 'ms',
    },
  ];
}

/** Creates the documents of a fleet at full size. */
function fullSize(): Documents {
  const budgets = Array.from({ length: FULL_BUDGETS }, (_, index) => ({
    name: `budget-${index}`,
    workspace: `workspace-${index % FULL_WORKSPACES}`,
  }));
  const workspaces = Array.from({ length: FULL_WORKSPACES }, (_, index) => ({
    name: `workspace-${index}`,
    keys: budgets
      .filter(({ workspace }) => workspace === `workspace-${index}`)
      .map(({ name }) => ({ sha256: sha256(name), budget: name })),
  }));
  return documentsSchema.parse({ workspaces, budgets });
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function medianTimeMs(work: () => unknown): number {
  const took = Array.from({ length: REPEATS }, () => {
    const began = performance.now();
    work();
    return performance.now() - began;
  });
  return median(took);
}

/** Measures in this process the cost of one revision at full size; needs no daemons. */
function measureFullSize(ctx: BenchContext): readonly Figure[] {
  ctx.say(`${FULL_WORKSPACES} workspaces and ${FULL_BUDGETS} budgets`);
  const documents = fullSize();
  const pieces = splitIntoPieces(documents);
  const parts = pieces.map((piece) => piece.documents);
  const sizes = parts.map((part) => Buffer.byteLength(JSON.stringify(part)));
  const apply = (): unknown => new Configuration(EMPTY_MANIFEST, joinDocuments(parts));
  return [
    { name: 'largest piece at full size', value: Math.max(...sizes), unit: 'bytes' },
    { name: 'time to apply a revision at full size', value: medianTimeMs(apply), unit: 'ms' },
    {
      name: 'time to cut a publication at full size',
      value: medianTimeMs(() => splitIntoPieces(documents)),
      unit: 'ms',
    },
  ];
}

/** Measures publications on 8 daemons, checks of service files, and a revision at full size. */
export class ConfigBench extends BenchGroup {
  override readonly name = 'config';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const spread = await measurePropagation(ctx);
    return [...spread, ...(await measureCheck(ctx)), ...measureFullSize(ctx)];
  }
}
