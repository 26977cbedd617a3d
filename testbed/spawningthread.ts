/** Worker thread that starts one short process after the other. */
import { spawn } from 'node:child_process';

function start(): void {
  spawn('true', { stdio: 'ignore' }).once('exit', () => setImmediate(start));
}

start();
