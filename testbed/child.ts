/** One child process of a test, demo or benchmark. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

import type { ChildProcess } from 'node:child_process';

/** What a child runs. */
export interface ChildOptions {
  /** Compiled module, relative to the root of the compiled tree. */
  readonly module: string;
  readonly args: readonly string[];
  /** File that receives what the child prints. */
  readonly logFile: string;
  /** Whether the child also prints to the terminal. */
  readonly inherit?: boolean;
}

/** Started children, so that none outlives its parent. */
const children = new Set<ChildProcess>();

process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

/** Owns one process. */
export class Child {
  readonly #process: ChildProcess;

  readonly #ended: Promise<number | null>;

  /**
   * Starts a process.
   * @param options - what it runs
   */
  constructor(options: ChildOptions) {
    const path = fileURLToPath(new URL(`../${options.module}`, import.meta.url));
    this.#process = spawn(process.execPath, [path, ...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(this.#process);
    const log = createWriteStream(options.logFile, { flags: 'a' });
    this.#process.stdout?.pipe(log, { end: false });
    this.#process.stderr?.pipe(log, { end: false });
    if (options.inherit) {
      this.#process.stdout?.pipe(process.stdout, { end: false });
      this.#process.stderr?.pipe(process.stderr, { end: false });
    }
    this.#ended = new Promise((resolve) => {
      this.#process.once('close', (code) => {
        children.delete(this.#process);
        resolve(code);
      });
    });
  }

  /** Process id. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Whether the process has not ended. */
  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /**
   * Sends a signal.
   * @param signal - for example SIGKILL, SIGSTOP or SIGCONT
   */
  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /**
   * Waits for the end of the process.
   * @returns its exit code; null after a signal
   */
  ended(): Promise<number | null> {
    return this.#ended;
  }
}
