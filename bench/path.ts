/** Benchmark of the request path against a plain proxy, and of memory and idle cost. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { MIB_BYTES } from '../src/kernel/index.js';
import { Child } from '../testbed/child.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { freePort } from '../testbed/ports.js';
import { readProcess } from '../testbed/procfs.js';
import { waitFor } from '../testbed/wait.js';
import { BenchGroup } from './figure.js';
import { runLoad } from './streamload.js';

import type { Documents } from '../src/config/index.js';
import type { ProcessUse } from '../testbed/procfs.js';
import type { BenchContext, Figure } from './figure.js';
import type { LoadOptions, LoadResult } from './streamload.js';

const HOST = 'http://127.0.0.1';
const STREAMS = 400;
const OPEN_STREAMS = 1_000;
const ROUNDS = 3;
const IDLE_DURATION_MS = 10_000;
const SETTLE_DELAY_MS = 3_000;
const UNITS = 2_000_000_000;
const BYTES_PER_KB = 1_000;

/** Streams at the token rate of an engine. */
const PACED = { firstMs: 100, tokenMs: 31, burst: 1 } as const;

/** Streams as fast as the daemon accepts data. */
const UNPACED = { firstMs: 50, tokenMs: 0, burst: 1 } as const;

/** Streams that stay open at a low token rate. */
const SLOW = { firstMs: 10, tokenMs: 1_000, burst: 1 } as const;

const FIRST_TOKEN_BOUND_MS = 5;
const RELAY_BOUND_TOKENS_PER_SECOND = 100_000;
const RELAY_SHARE_BOUND = 0.5;
const STREAM_MEMORY_BOUND_MB = 64;
const IDLE_BOUND_CORES = 0.032;
const IDLE_IO_BOUND_KB = 12;
const IDLE_MEMORY_BOUND_MB = 32;

/** Processes that run beside the fleet, with their URLs. */
interface Programs {
  readonly dir: string;
  readonly engine: string;
  readonly passthrough: string;
  readonly children: readonly Child[];
}

async function startProgram(dir: string, name: string, args: readonly string[]): Promise<Child> {
  const logFile = join(dir, `${name}.log`);
  return new Child({ module: `bench/${name}.js`, args, logFile });
}

async function isHealthy(url: string): Promise<boolean> {
  const res = await request(`${url}/healthz`);
  await res.body.dump();
  return res.statusCode === 200;
}

async function startPrograms(): Promise<Programs> {
  const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-bench-'));
  const enginePort = await freePort();
  const engine = `${HOST}:${enginePort}`;
  const passPort = await freePort();
  const passthrough = `${HOST}:${passPort}`;
  const children = [
    await startProgram(dir, 'loadengine', [String(enginePort)]),
    await startProgram(dir, 'passthrough', [String(passPort), engine]),
  ];
  await waitFor('the pass-through answers', () => isHealthy(passthrough));
  return { dir, engine, passthrough, children };
}

function loadDocuments(fleet: Fleet, engine: string): Documents {
  const { documents } = fleet;
  const [route] = documents.routes;
  const [upstream] = documents.upstreams;
  if (!route || !upstream) throw new Error('the test documents have changed');
  return {
    ...documents,
    routes: [...documents.routes, { ...route, name: 'load', maxOutputTokens: 100_000 }],
    upstreams: [
      ...documents.upstreams,
      { ...upstream, name: 'load-engine', route: 'load', url: engine, concurrency: 4_096 },
    ],
  };
}

async function median(run: () => Promise<LoadResult>): Promise<LoadResult> {
  const results: LoadResult[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    // eslint-disable-next-line no-await-in-loop
    results.push(await run());
  }
  results.sort((a, b) => a.tokensPerSecond - b.tokensPerSecond);
  const middle = results[Math.floor(ROUNDS / 2)];
  if (!middle) throw new Error('no round was run');
  const firsts = results.map(({ firstP95Ms }) => firstP95Ms).sort((a, b) => a - b);
  return { ...middle, firstP95Ms: firsts[Math.floor(ROUNDS / 2)] ?? 0 };
}

function paced(url: string): LoadOptions {
  return { url, apiKey: API_KEY, streams: STREAMS, tokens: 100, plan: PACED, rampMs: 1_500 };
}

function unpaced(url: string): LoadOptions {
  return { url, apiKey: API_KEY, streams: STREAMS, tokens: 2_000, plan: UNPACED, rampMs: 0 };
}

/** Measures first-token delay and token throughput of the daemon and of the plain proxy. */
async function relayFigures(daemon: string, pass: string): Promise<readonly Figure[]> {
  await runLoad({ ...unpaced(daemon), tokens: 200 });
  await runLoad({ ...unpaced(pass), tokens: 200 });
  const pacedDaemon = await median(() => runLoad(paced(daemon)));
  const pacedPass = await median(() => runLoad(paced(pass)));
  const unpacedDaemon = await median(() => runLoad(unpaced(daemon)));
  const unpacedPass = await median(() => runLoad(unpaced(pass)));
  return [
    {
      name: 'path.first-token-added-p95',
      value: pacedDaemon.firstP95Ms - pacedPass.firstP95Ms,
      unit: 'ms',
      bound: FIRST_TOKEN_BOUND_MS,
    },
    { name: 'path.first-token-p95', value: pacedDaemon.firstP95Ms, unit: 'ms' },
    { name: 'path.first-token-p95.pass-through', value: pacedPass.firstP95Ms, unit: 'ms' },
    {
      name: 'path.relayed-tokens',
      value: unpacedDaemon.tokensPerSecond,
      unit: 'tokens/s',
      bound: RELAY_BOUND_TOKENS_PER_SECOND,
      comparison: 'at-least',
    },
    {
      name: 'path.relayed-tokens.share-of-pass-through',
      value: unpacedDaemon.tokensPerSecond / unpacedPass.tokensPerSecond,
      unit: 'ratio',
      bound: RELAY_SHARE_BOUND,
      comparison: 'at-least',
    },
    {
      name: 'path.answers-not-whole',
      value: 2 * STREAMS - unpacedDaemon.whole - pacedDaemon.whole,
      unit: 'answers',
      bound: 0,
    },
  ];
}

/** Measures the memory that open streams add to a daemon. */
async function memoryFigure(fleet: Fleet): Promise<Figure> {
  const daemon = fleet.daemon(1);
  await delay(SETTLE_DELAY_MS);
  const before = await readProcess(daemon.child.pid);
  const load = runLoad({
    ...paced(daemon.url),
    streams: OPEN_STREAMS,
    tokens: 12,
    plan: SLOW,
  });
  await delay(2 * SETTLE_DELAY_MS);
  const during = await readProcess(daemon.child.pid);
  await load;
  return {
    name: 'path.memory-of-1000-streams',
    value: (during.rssBytes - before.rssBytes) / MIB_BYTES,
    unit: 'MiB',
    bound: STREAM_MEMORY_BOUND_MB,
  };
}

/** Measures processor time, traffic and memory of idle daemons; reports the highest of each. */
async function idleFigures(fleet: Fleet, bare: Child): Promise<readonly Figure[]> {
  await delay(SETTLE_DELAY_MS);
  const pids = fleet.daemons.map(({ child }) => child.pid);
  const before = await Promise.all(pids.map(readProcess));
  await delay(IDLE_DURATION_MS);
  const after = await Promise.all(pids.map(readProcess));
  const base = await readProcess(bare.pid);
  const seconds = IDLE_DURATION_MS / 1_000;
  const worst = (of: (now: ProcessUse, then: ProcessUse) => number): number =>
    Math.max(...after.map((now, index) => of(now, before[index] ?? now)));
  return [
    {
      name: 'path.idle-core',
      value: worst((now, then) => (now.cpuSeconds - then.cpuSeconds) / seconds),
      unit: 'cores',
      bound: IDLE_BOUND_CORES,
    },
    {
      name: 'path.idle-traffic',
      value: worst((now, then) => (now.ioBytes - then.ioBytes) / seconds / BYTES_PER_KB),
      unit: 'KB/s',
      bound: IDLE_IO_BOUND_KB,
    },
    {
      name: 'path.idle-memory-above-bare-nest',
      value: worst((now) => (now.rssBytes - base.rssBytes) / MIB_BYTES),
      unit: 'MiB',
      bound: IDLE_MEMORY_BOUND_MB,
    },
  ];
}

/** Measures the request path, the memory of streams and the idle cost. */
export class PathBench extends BenchGroup {
  override readonly name = 'path';

  override async run(ctx: BenchContext): Promise<readonly Figure[]> {
    const programs = await startPrograms();
    const barePort = await freePort();
    const bare = await startProgram(programs.dir, 'barenest', [String(barePort)]);
    await waitFor('the bare process answers', () => isHealthy(`${HOST}:${barePort}`));
    const fleet = await Fleet.start({ daemons: 8, units: UNITS });
    try {
      await fleet.publish(loadDocuments(fleet, programs.engine));
      await delay(SETTLE_DELAY_MS);
      ctx.say('idle cost');
      const idle = await idleFigures(fleet, bare);
      ctx.say('memory of open streams');
      const memory = await memoryFigure(fleet);
      ctx.say('relay');
      const relay = await relayFigures(fleet.daemon(0).url, programs.passthrough);
      return [...relay, memory, ...idle];
    } finally {
      [...programs.children, bare].forEach((child) => child.signal('SIGKILL'));
      await fleet.stop();
      await rm(programs.dir, { recursive: true, force: true });
    }
  }
}
