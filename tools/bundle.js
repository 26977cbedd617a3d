/** Bundles the platform's daemon into one script with a code cache, so that it starts fast. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { build } from 'esbuild';

import { readRunCommand } from '../dist/tools/runcommand.js';

/** Packages that Nest loads only where they are installed. */
const OPTIONAL = [
  '@nestjs/microservices',
  '@nestjs/platform-express',
  '@nestjs/websockets',
  '@fastify/multipart',
  '@fastify/static',
  '@fastify/view',
  'class-transformer',
  'class-validator',
  'bufferutil',
  'utf-8-validate',
];

/** Modules that are replaced by a smaller one with the same exports. */
const SHIMS = [
  { filter: /^undici$/, shim: 'undici.js' },
  { filter: /\/format-log-timestamp\.util\.js$/, shim: 'formatlogtimestamp.js' },
  { filter: /\/console-logger\.service\.js$/, shim: 'consolelogger.js' },
];

const shims = {
  name: 'shims',
  setup({ onResolve }) {
    SHIMS.forEach(({ filter, shim }) => {
      const path = fileURLToPath(new URL(`shims/${shim}`, import.meta.url));
      onResolve({ filter }, () => ({ path }));
    });
  },
};

/** Settings of both scripts. */
const SCRIPT = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Names are kept, so that stack traces in the log can be read.
  minifySyntax: true,
  minifyWhitespace: true,
  // The program is read as Latin-1.
  charset: 'ascii',
};

await build({
  ...SCRIPT,
  entryPoints: ['dist/platform/program.js'],
  outfile: 'target/daemon.cjs',
  // "ts-results" is a universal module whose loader hides its files from the bundler.
  external: [...OPTIONAL, 'ts-results'],
  plugins: [shims],
  // The launcher compiles the script as one expression: a function with the parameters of a module.
  banner: { js: '(function (exports, require, module) {' },
  footer: { js: '})' },
});
const { flags, script } = await readRunCommand();
await build({ ...SCRIPT, entryPoints: ['dist/platform/launch.js'], outfile: script });
// V8 accepts a code cache only with the flags that it was made with.
await promisify(execFile)(process.execPath, [...flags, script, '--write-code-cache']);
