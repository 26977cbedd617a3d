/** Baseline process: Nest on Fastify without providers. */
import 'reflect-metadata';

import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';

import type { NestFastifyApplication } from '@nestjs/platform-fastify';

/** A module without providers. */
@Module({})
class EmptyModule {}

const app = await NestFactory.create<NestFastifyApplication>(EmptyModule, new FastifyAdapter(), {
  logger: false,
});
app
  .getHttpAdapter()
  .getInstance()
  .get('/healthz', async () => ({ status: 'ok' }));
await app.listen(Number(process.argv[2]), '127.0.0.1');
