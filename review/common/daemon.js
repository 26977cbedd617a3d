/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
/** One daemon of the fleet: the program and the settings template of the deploy file, on a loopback address. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { get } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { listen, sleep } from './net.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Bounds of the site file of Sava; the fields that the template doesn't use are left out. */
export const BOUNDS = {
  ContactMs: 3000,
  DrainMs: 2000,
  GraceS: 8,
  ConfigApplyMs: 2000,
  RetryBudgetRatio: 0.2,
  RetryWindowS: 10,
  RetryBudgetExtra: 54,
};

const LIMITS = { CpuQuota: 0.675, CpuCores: 1, MemoryMb: 200, MaxFds: 4100 };

function lookUp(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Fills the placeholders of a template as the pages tell; sections aren't needed. */
function fill(template, fields) {
  return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = lookUp(fields, path);
    return json ? JSON.stringify(value ?? null) : String(value ?? '');
  });
}

/** Returns a loopback address, so that each daemon has the ports of a machine to itself. */
export function loopback() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

/** Reads a value of the deploy file. */
async function deployed(name) {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
}

async function freePort(host) {
  const server = createServer();
  const port = await listen(server, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Runs one process of the fleet at a time. */
export class Daemon {
  constructor(name, ip, dir) {
    this.name = name;
    this.ip = ip;
    this.dir = dir;
  }

  /** Writes the settings of a daemon and starts it; resolves once it is ready. */
  static async start({ name, ip, zone, store, dir, bounds = BOUNDS }) {
    const daemon = new Daemon(name, ip, dir);
    daemon.port = await freePort(ip);
    daemon.readyPort = await freePort(ip);
    const peers = await freePort(ip);
    const fields = {
      NodeName: name,
      Zone: zone,
      Ip: ip,
      InternalPorts: [peers, peers],
      Listen: { Frontend: `${ip}:${daemon.port}`, Ready: `${ip}:${daemon.readyPort}` },
      Platform: { Address: store.address },
      Limits: LIMITS,
      Bounds: bounds,
    };
    const template = await readFile(join(ROOT, await deployed('template')), 'utf8');
    daemon.settings = join(dir, `${name}.yaml`);
    await writeFile(daemon.settings, fill(template, fields));
    await daemon.launch();
    return daemon;
  }

  /** Starts a process with the command of the deploy file; resolves once it is ready. */
  async launch() {
    const [program, ...args] = (await deployed('run')).split(' ');
    const env = {
      PATH: process.env.PATH,
      HOME: process.env.HOME ?? '/',
      COMFREYREEL_SETTINGS: this.settings,
    };
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    const log = createWriteStream(join(this.dir, `${this.name}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    const until = performance.now() + 20_000;
    while (!(await this.isReady())) {
      if (performance.now() > until) throw new Error(`${this.name} isn't ready`);
      await sleep(100);
    }
  }

  /** Asks for the readiness as the platform does. */
  isReady() {
    return new Promise((resolve) => {
      const options = { host: this.ip, port: this.readyPort, path: '/readiness', agent: false };
      const req = get(options, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('error', () => resolve(false));
      req.setTimeout(1000, () => req.destroy());
    });
  }

  signal(name) {
    this.child?.kill(name);
  }
}
