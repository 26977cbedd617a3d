var __decorate = (this && this.__decorate) || function (decorators, target, key, desc) {
    var c = arguments.length, r = c < 3 ? target : desc === null ? desc = Object.getOwnPropertyDescriptor(target, key) : desc, d;
    if (typeof Reflect === "object" && typeof Reflect.decorate === "function") r = Reflect.decorate(decorators, target, key, desc);
    else for (var i = decorators.length - 1; i >= 0; i--) if (d = decorators[i]) r = (c < 3 ? d(r) : c > 3 ? d(target, key, r) : d(target, key)) || r;
    return c > 3 && r && Object.defineProperty(target, key, r), r;
};
/** Baseline: an empty Nest-on-Fastify process. */
import 'reflect-metadata';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
/** A module without providers. */
let EmptyModule = class EmptyModule {
};
EmptyModule = __decorate([
    Module({})
], EmptyModule);
const app = await NestFactory.create(EmptyModule, new FastifyAdapter(), {
    logger: false,
});
app
    .getHttpAdapter()
    .getInstance()
    .get('/healthz', async () => ({ status: 'ok' }));
await app.listen(Number(process.argv[2]), '127.0.0.1');
//# sourceMappingURL=barenest.js.map