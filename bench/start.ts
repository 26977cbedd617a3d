/** Benchmark of a start of the bundled daemon, beside a start of Node.js alone. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { readRunCommand } from '../tools/runcommand.js';
import { BenchGroup } from './figure.js';

import type { BenchContext, Figure } from './figure.js';

const ROUNDS = 7;
const BYTES_PER_KIB = 1_024;
const BYTES_PER_MB = 1_000_000;

/** Processor time of a start, as a multiple of that of Node.js alone. */
const PROCESSOR_RATIO_BOUND = 3;

/** Largest resident set during a start. */
const PEAK_BOUND_MB = 70;

/** Module that prints what the process has used when it exits. */
const USAGE_MODULE = `process.on('exit', () => {
  require('node:fs').writeSync(1, JSON.stringify(process.resourceUsage()));
});`;

/** Use of one process, from its start to its exit. */
interface StartUse {
  readonly processorMs: number;
  readonly peakMb: number;
}

/** Runs Node.js to its exit; the daemon exits at once, since no settings file is given. */
function measureStart(usageModule: string, args: readonly string[]): Promise<StartUse> {
  return new Promise((resolve, reject) => {
    execFile(process.execPath, ['--require', usageModule, ...args], { env: {} }, (_err, stdout) => {
      try {
        const { userCPUTime, systemCPUTime, maxRSS } = JSON.parse(stdout) as NodeJS.ResourceUsage;
        resolve({
          processorMs: (userCPUTime + systemCPUTime) / 1_000,
          peakMb: (maxRSS * BYTES_PER_KIB) / BYTES_PER_MB,
        });
      } catch (err) {
        reject(
          new Error(`${args.join(' ')}: no usage printed; run "npm run bundle" first`, {
            cause: err,
          }),
        );
      }
    });
  });
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Starts of the daemon and of Node.js, in turn. */
export class StartBench extends BenchGroup {
  override readonly name = 'start';

  override async run({ say }: BenchContext): Promise<readonly Figure[]> {
    const dir = await mkdtemp(join(tmpdir(), 'bench-start-'));
    const usageModule = join(dir, 'usage.cjs');
    await writeFile(usageModule, USAGE_MODULE);
    const { flags, script } = await readRunCommand();
    const starts: { daemon: StartUse; bare: StartUse }[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      say(`start ${round + 1} of ${ROUNDS}`);
      // Starts run one at a time: concurrent ones would compete for the processor caches.
      // eslint-disable-next-line no-await-in-loop
      const daemon = await measureStart(usageModule, [...flags, script]);
      // eslint-disable-next-line no-await-in-loop
      const bare = await measureStart(usageModule, [...flags, '-e', '0']);
      starts.push({ daemon, bare });
    }
    await rm(dir, { recursive: true });
    const of = (value: (start: (typeof starts)[number]) => number): number =>
      median(starts.map(value));
    return [
      { name: 'start.processor', value: of(({ daemon }) => daemon.processorMs), unit: 'ms' },
      { name: 'start.processor.bare', value: of(({ bare }) => bare.processorMs), unit: 'ms' },
      {
        name: 'start.processor.ratio',
        value: of(({ daemon, bare }) => daemon.processorMs / bare.processorMs),
        unit: 'times',
        bound: PROCESSOR_RATIO_BOUND,
      },
      {
        name: 'start.peak',
        value: of(({ daemon }) => daemon.peakMb),
        unit: 'MB',
        bound: PEAK_BOUND_MB,
      },
      { name: 'start.peak.bare', value: of(({ bare }) => bare.peakMb), unit: 'MB' },
    ];
  }
}
