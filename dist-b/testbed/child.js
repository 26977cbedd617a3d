/** One child process of a test, demo or benchmark. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';
/** Started children, so that none outlives its parent. */
const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
/** Owns one process. */
export class Child {
    #process;
    #ended;
    /**
     * Starts a process.
     * @param options - what it runs
     */
    constructor(options) {
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
    get pid() {
        return this.#process.pid ?? 0;
    }
    /** Whether the process has not ended. */
    get running() {
        return this.#process.exitCode === null && this.#process.signalCode === null;
    }
    /**
     * Sends a signal.
     * @param signal - for example SIGKILL, SIGSTOP or SIGCONT
     */
    signal(signal) {
        this.#process.kill(signal);
    }
    /**
     * Waits for the end of the process.
     * @returns its exit code; null after a signal
     */
    ended() {
        return this.#ended;
    }
}
//# sourceMappingURL=child.js.map