/** Child processes of tests, the demo and benchmarks. */
import { spawn } from 'node:child_process';
import { closeSync, createWriteStream, openSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import type { ChildProcess } from 'node:child_process';

/**
 * What becomes of a child's standard output: it is kept in the log file, nobody reads it, each write to it fails as on a
 * full disk, or its reader has ended.
 */
export type OutputFate = 'kept' | 'unread' | 'refused' | 'closed';

/** Device on which each write fails as on a full disk. */
const FULL_DEVICE = '/dev/full';

/** Module, arguments and output of a child process. */
export interface ChildOptions {
  /** Compiled module, relative to the root of the compiled tree. */
  readonly module: string;
  readonly args: readonly string[];
  /** File to which stdout and stderr of the child are appended. */
  readonly logFile: string;
  /** What becomes of stdout; default 'kept'. */
  readonly output?: OutputFate;
  /** Whether the reader of stderr ends before the first line; default false. */
  readonly closesErrors?: boolean;
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
    const { output = 'kept' } = options;
    // eslint-disable-next-line n/no-sync -- the constructor starts the process
    const stdout = output === 'refused' ? openSync(FULL_DEVICE, 'w') : 'pipe';
    this.#process = spawn(program, args, { stdio: ['ignore', stdout, 'pipe'] });
    // eslint-disable-next-line n/no-sync
    if (typeof stdout === 'number') closeSync(stdout);
    children.add(this.#process);
    const log = createWriteStream(options.logFile, { flags: 'a' });
    if (output === 'kept') this.#process.stdout?.pipe(log, { end: false });
    if (output === 'closed') this.endReader();
    // Unread output would keep the event "close" from coming.
    this.#process.once('exit', () => {
      if (output !== 'kept') this.endReader();
    });
    if (options.closesErrors) this.#process.stderr?.destroy();
    else this.#process.stderr?.pipe(log, { end: false });
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

  /** Ends the reader of the child's standard output. */
  endReader(): void {
    this.#process.stdout?.destroy();
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
