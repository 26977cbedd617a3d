/**
 * Demo: runs the stand-ins and four daemons as processes, streams a model answer, calls a service
 * and prints the statement of the workspace.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { request } from 'undici';
import { stringify } from 'yaml';

import { sha256 } from '../src/kernel/index.js';
import { callModel, callService } from '../testbed/caller.js';
import { Child } from '../testbed/child.js';
import { DaemonProcess, OPERATOR_KEY } from '../testbed/daemonprocess.js';
import { freePort } from '../testbed/ports.js';
import { waitFor } from '../testbed/wait.js';

const API_KEY = 'key-of-the-catalogue-staff';
const DATA_CENTRES = ['ljubljana-1', 'ljubljana-2', 'ljubljana-3'] as const;

/** Kinds of stand-ins, values of the option --kind of fakes/main. */
type FakeKind = 'objects' | 'instances' | 'engine' | 'service';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function startFake(dir: string, kind: FakeKind): Promise<string> {
  const port = await freePort();
  const args = ['--kind', kind, '--port', String(port)];
  const child = new Child({ module: 'fakes/main.js', args, logFile: join(dir, `${kind}.log`) });
  const url = `http://127.0.0.1:${port}`;
  await waitFor(`${kind} stand-in ${child.pid} answers`, async () => {
    const res = await request(url);
    await res.body.dump();
    return res.statusCode > 0;
  });
  return url;
}

async function runCli(dir: string, url: string, args: readonly string[]): Promise<void> {
  const child = new Child({
    module: 'src/cli/main.js',
    args: [...args, '--url', url, '--key', OPERATOR_KEY],
    logFile: join(dir, 'cli.log'),
    inherit: true,
  });
  print(`$ comfreyreel ${args.join(' ')}`);
  const code = await child.ended();
  if (code !== 0) throw new Error(`comfreyreel ${args[0]} exited with code ${code}`);
}

async function writeServiceFiles(dir: string, engine: string, desk: string): Promise<void> {
  const [dataCentre] = DATA_CENTRES;
  await writeFile(
    join(dir, 'catalogue.comfreyreel.yaml'),
    stringify({
      workspaces: [
        { name: 'catalogue', keys: [{ sha256: sha256(API_KEY), budget: 'catalogue-2026' }] },
      ],
      budgets: [{ name: 'catalogue-2026', workspace: 'catalogue' }],
      routes: [
        { name: 'manifests', kind: 'model' },
        { name: 'moorings', kind: 'service', idempotent: false, unitsPerCall: 10 },
      ],
      upstreams: [
        { name: 'engine-1', route: 'manifests', url: engine, dataCentre },
        { name: 'desk-1', route: 'moorings', url: desk, dataCentre },
      ],
    }),
  );
}

async function demo(dir: string): Promise<void> {
  const objects = await startFake(dir, 'objects');
  const instances = await startFake(dir, 'instances');
  const engine = await startFake(dir, 'engine');
  const desk = await startFake(dir, 'service');
  const names = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
  const daemons = await Promise.all(
    names.map((name, index) => {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
      return DaemonProcess.start({ name, dataCentre, objects, instances, dir });
    }),
  );
  await request(`${instances}/admin/instances`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(daemons.map(({ listed }) => listed)),
  });
  await Promise.all(daemons.map((daemon) => daemon.waitHealthy()));
  const [first, second, third] = daemons;
  if (!first || !second || !third) throw new Error('fewer than three daemons were started');
  await writeServiceFiles(dir, engine, desk);
  await runCli(dir, first.url, ['publish', dir]);
  await runCli(dir, first.url, ['topup', 'catalogue-2026', '5000', '--operation', 'invoice-17']);
  await Promise.all(daemons.map((daemon) => daemon.waitReady()));
  print('--- model request, streamed through entry-2');
  const prompt = 'Draft the cargo manifest of the barge Sloboda: 40 crates of novels, 12 of maps';
  const draft = await callModel({
    url: second.url,
    apiKey: API_KEY,
    model: 'manifests',
    prompt,
    maxTokens: 60,
    onChunk: (chunk) => {
      [...chunk.matchAll(/"content":"([^"]*)"/g)].forEach(([, word]) => {
        process.stdout.write(word ?? '');
      });
    },
  });
  print(`\n--- complete answer: ${draft.isComplete}, key ${draft.key}`);
  if (!draft.isComplete) throw new Error(`the answer is incomplete: ${draft.text}`);
  print('--- service call, a mooring charge, through entry-3');
  const mooring = await callService({
    url: third.url,
    apiKey: API_KEY,
    route: 'moorings',
    path: '/charges',
    key: 'mooring-2026-12-04-sloboda',
    body: { berth: 7, barge: 'Sloboda' },
  });
  print(`${mooring.status} ${mooring.text}`);
  if (mooring.status !== 200) throw new Error('the service call for the mooring charge failed');
  await waitFor('both charges are in the statement', async () => {
    const lines = await first.operator<readonly unknown[]>('workspaces/catalogue/statement');
    return lines.length === 2;
  });
  await runCli(dir, first.url, ['statement', 'catalogue']);
  await runCli(dir, first.url, ['budgets']);
  daemons.forEach(({ child }) => child.signal('SIGTERM'));
  const codes = await Promise.all(daemons.map(({ child }) => child.ended()));
  print(`--- exit codes of the daemons: ${codes.join(', ')}`);
  if (codes.some((code) => code !== 0)) throw new Error('a daemon exited with a non-zero code');
}

const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-demo-'));
try {
  await demo(dir);
  await rm(dir, { recursive: true });
  process.exit(0);
} catch (err) {
  process.stderr.write(`${String(err)}; the logs are in ${dir}\n`);
  process.exit(1);
}
