/** Child processes of tests, the demo and benchmarks. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

import type { ChildProcess } from 'node:child_process';

/** Module, arguments and output of a child process. */
export interface ChildOptions {
  /** Compiled module, relative to the root of the compiled tree. */
  readonly module: string;
  readonly args: readonly string[];
  /** File to which stdout and stderr of the child are appended. */
  readonly logFile: string;
  /** Whether the child's output also goes to stdout and stderr of this process. */
  readonly inherit?: boolean;
  /** Number of files and sockets that the child may have open; default the limit of this process. */
  readonly openFiles?: number;
  /** Options of Node.js; default none. */
  readonly nodeOptions?: readonly string[];
}

/** Program and arguments that run a module, under a limit if one is given. */
function commandOf({
  module,
  args,
  openFiles,
  nodeOptions = [],
}: ChildOptions): readonly [string, string[]] {
  const program = fileURLToPath(new URL(`../${module}`, import.meta.url));
  const words = [...nodeOptions, program, ...args];
  if (openFiles === undefined) return [process.execPath, words];
  // Node.js cannot set limits; the shell sets them and becomes the program.
  return ['sh', ['-c', `ulimit -n ${openFiles}; exec "$0" "$@"`, process.execPath, ...words]];
}

/** Running children, killed when this process exits. */
const children = new Set<ChildProcess>();

process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

/** A running Node.js child process. */
export class Child {
  readonly #process: ChildProcess;

  readonly #ended: Promise<number | null>;

  /**
   * Starts a process.
   * @param options - module, arguments and output
   */
  constructor(options: ChildOptions) {
    const [program, args] = commandOf(options);
    this.#process = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'] });
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

  /** Whether the process still runs. */
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
   * Waits until the process has ended and its output is closed.
   * @returns exit code; null if a signal ended it
   */
  ended(): Promise<number | null> {
    return this.#ended;
  }
}
