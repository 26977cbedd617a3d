/** Bundles the platform's daemon into one file, so that it starts fast. */
import { build } from 'esbuild';

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

await build({
  entryPoints: ['dist/platform/main.js'],
  outfile: 'target/comfreyreel.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // A universal module whose loader hides its files from the bundler.
  external: [...OPTIONAL, 'ts-results'],
  minifySyntax: true,
  // Packages in the older module format load others with "require".
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
});
