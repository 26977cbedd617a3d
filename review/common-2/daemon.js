/* eslint-disable no-await-in-loop -- a test script: its steps follow each other */
/** Starts the project's program with the command of the deploy file and settings after its template. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

const ARGUMENTS = ['--max-old-space-size=90', '--max-semi-space-size=2', 'target/comfreyreel.cjs'];

/** Range from which ports are taken: below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 15_000;
const LAST_PORT = 31_999;

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Ports that one script takes: scripts that run beside each other begin at different ones. */
const PORTS_PER_SCRIPT = 53;

let nextPort =
  FIRST_PORT + ((process.pid * PORTS_PER_SCRIPT) % (LAST_PORT - FIRST_PORT - PORTS_PER_SCRIPT));

/** Returns a port on which nothing listens, another one each time. */
export async function freePort() {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) return port;
  }
}

/** One machine: a process, its settings file and its log. */
export class Daemon {
  constructor({ name, zone, zones, store, dir, bounds }) {
    Object.assign(this, { name, zone, zones, store, dir, bounds });
  }

  async start() {
    this.ports = {
      callers: await freePort(),
      readiness: await freePort(),
      peers: await freePort(),
      metrics: await freePort(),
    };
    await this.launch();
    return this;
  }

  /** Bounds as in the settings of the small sites; the text follows platform/settings.template.yaml. */
  #settings() {
    const { ports, bounds } = this;
    return [
      `instance: "${this.name}"`,
      `dataCentre: "${this.zone}"`,
      `regions: ${JSON.stringify(this.zones)}`,
      'listen:',
      `  callers: "127.0.0.1:${ports.callers}"`,
      `  readiness: "127.0.0.1:${ports.readiness}"`,
      `  peers: "127.0.0.1:${ports.peers}"`,
      `  metrics: "127.0.0.1:${ports.metrics}"`,
      'readinessPath: /readiness',
      `store: "${this.store}"`,
      `watchMs: ${bounds.ContactMs}`,
      'changes:',
      `  applyMs: ${bounds.ConfigApplyMs}`,
      `  drainMs: ${bounds.DrainMs}`,
      'processor:',
      '  share: 0.675',
      '  speed: 1',
      'openFiles: 4100',
      'memoryMb: 200',
      'stopMs: 8e3',
      'retries:',
      '  perRequest: 0.2',
      '  reserve: 54',
      'evacuateMs: ',
      '',
    ].join('\n');
  }

  async launch() {
    const file = join(this.dir, `${this.name}.yaml`);
    await writeFile(file, this.#settings());
    const log = createWriteStream(join(this.dir, `${this.name}.log`), { flags: 'a' });
    const child = spawn('node', ARGUMENTS, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, COMFREYREEL_SETTINGS: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.child = child;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  get callers() {
    return this.ports.callers;
  }

  kill(signal = 'SIGKILL') {
    this.child.kill(signal);
  }

  isReady() {
    return new Promise((resolve) => {
      const req = get(
        { host: '127.0.0.1', port: this.ports.readiness, path: '/readiness', timeout: 500 },
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  async untilReady(limitMs = 20_000) {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      if (await this.isReady()) return;
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
    throw new Error(`${this.name} is not ready`);
  }
}
