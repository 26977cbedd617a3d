var __decorate = (this && this.__decorate) || function (decorators, target, key, desc) {
    var c = arguments.length, r = c < 3 ? target : desc === null ? desc = Object.getOwnPropertyDescriptor(target, key) : desc, d;
    if (typeof Reflect === "object" && typeof Reflect.decorate === "function") r = Reflect.decorate(decorators, target, key, desc);
    else for (var i = decorators.length - 1; i >= 0; i--) if (d = decorators[i]) r = (c < 3 ? d(r) : c > 3 ? d(target, key, r) : d(target, key)) || r;
    return c > 3 && r && Object.defineProperty(target, key, r), r;
};
var __metadata = (this && this.__metadata) || function (k, v) {
    if (typeof Reflect === "object" && typeof Reflect.metadata === "function") return Reflect.metadata(k, v);
};
var __param = (this && this.__param) || function (paramIndex, decorator) {
    return function (target, key) { decorator(target, key, paramIndex); }
};
/** The callers' interface: model requests and calls to plain services. */
import { All, Controller, Inject, Post, Req, Res } from '@nestjs/common';
import { failure, FAILURE_KINDS, formatFailure, newRequestKey, retryAfter, sha256, } from '../kernel/index.js';
import { parseChatRequest, worstCase } from '../request/index.js';
import { refuseKeyed, serveKeyed } from './keyedrun.js';
import { ModelRun } from './modelrun.js';
import { Runtime } from './runtime.js';
import { ServiceRun } from './servicerun.js';
import { StreamSink } from './streamsink.js';
import { WholeSink } from './wholesink.js';
/** Prefix of the paths that are passed to plain services. */
const SERVICE_PREFIX = '/services/';
function bearer(req) {
    const header = req.headers.authorization ?? '';
    return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}
function exchangeOf(req, reply) {
    const given = req.headers['idempotency-key'];
    const keyGiven = typeof given === 'string' && given !== '';
    return { req, reply, key: keyGiven ? given : newRequestKey(), keyGiven };
}
function isFailure(value) {
    return 'code' in value;
}
function parseJson(body) {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        return undefined;
    }
}
/** Serves callers. */
let CallersController = class CallersController {
    runtime;
    /**
     * Creates the controller.
     * @param runtime - tasks of the daemon
     */
    constructor(runtime) {
        this.runtime = runtime;
    }
    /**
     * Answers a chat completion request, streamed or whole.
     * @param req - HTTP request
     * @param reply - HTTP reply
     */
    async complete(req, reply) {
        const exchange = exchangeOf(req, reply);
        const { key } = exchange;
        const parsed = parseChatRequest(parseJson(req.body));
        if (parsed.err) {
            await this.#refuse(exchange, parsed.val);
            return;
        }
        const chat = parsed.val;
        const admitted = this.#admit(req, chat.model, 'model');
        if (isFailure(admitted)) {
            await this.#refuseEarly(exchange, admitted);
            return;
        }
        reply.hijack();
        const sink = chat.stream ? new StreamSink(reply.raw, key) : new WholeSink(reply.raw, key);
        const input = this.#input(exchange, admitted, worstCase(chat, admitted.route));
        const run = new ModelRun(input, chat, sink);
        const digest = sha256(String(req.body));
        const { retries } = admitted.route;
        const outcome = await this.runtime.active.track(input.tenant.workspace.name, serveKeyed(run, { idempotent: true, retries }, digest));
        if (outcome.type === 'whole') {
            sink.finish();
            this.runtime.recorder.record('requestAnswered', { request: key });
        }
        else {
            sink.refuse(outcome.fail);
            this.#recordRefusal(key, outcome.fail);
        }
    }
    /**
     * Passes a call to a plain service.
     * @param req - HTTP request
     * @param reply - HTTP reply
     */
    async pass(req, reply) {
        const exchange = exchangeOf(req, reply);
        const { key } = exchange;
        const [name = '', ...rest] = req.url.slice(SERVICE_PREFIX.length).split('/');
        const admitted = this.#admit(req, name, 'service');
        if (isFailure(admitted)) {
            await this.#refuseEarly(exchange, admitted);
            return;
        }
        const { idempotent, retries, unitsPerCall } = admitted.route;
        const input = this.#input(exchange, admitted, unitsPerCall);
        const run = new ServiceRun(input, {
            method: req.method,
            path: `/${rest.join('/')}`,
            contentType: req.headers['content-type'] ?? 'application/octet-stream',
            body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
        });
        const digest = sha256(`${req.method} ${req.url}\n${String(req.body ?? '')}`);
        const outcome = await this.runtime.active.track(input.tenant.workspace.name, serveKeyed(run, { idempotent, retries }, digest));
        if (outcome.type === 'refused') {
            await this.#refuse(exchange, outcome.fail);
            return;
        }
        this.runtime.recorder.record('requestAnswered', { request: key });
        await reply
            .status(run.answer?.status ?? 200)
            .headers({ 'idempotency-key': key, 'content-type': run.answer?.contentType ?? '' })
            .send(run.answer?.body);
    }
    #admit(req, routeName, kind) {
        const { current } = this.runtime.serving.config;
        if (!current || !this.runtime.ready)
            return failure('not-ready', 'daemon');
        const tenant = current.tenant(sha256(bearer(req)));
        if (!tenant)
            return failure('unknown-key', 'authorization');
        const { state, name } = tenant.workspace;
        if (state === 'closed' || this.runtime.serving.plans.hasClosed(name)) {
            return failure('workspace-closed', name);
        }
        const route = current.route(routeName);
        if (route?.kind !== kind)
            return failure('unknown-route', `${kind} route "${routeName}"`);
        return { tenant, route };
    }
    #input(exchange, admitted, units) {
        const { reply, key, keyGiven } = exchange;
        const caller = new AbortController();
        reply.raw.once('close', () => {
            if (!reply.raw.writableEnded)
                caller.abort();
        });
        const { tenant, route } = admitted;
        const { serving } = this.runtime;
        const { signal } = caller;
        return { serving, tenant, route, key, keyGiven, worstCase: units, signal };
    }
    /** Refuses before the request was served; an earlier attempt with the key may have run. */
    async #refuseEarly(exchange, fail) {
        const { serving } = this.runtime;
        const tenant = serving.config.current?.tenant(sha256(bearer(exchange.req)));
        if (!exchange.keyGiven || !tenant) {
            await this.#refuse(exchange, fail);
            return;
        }
        const name = { workspace: tenant.workspace.name, key: exchange.key };
        await this.#refuse(exchange, await refuseKeyed(serving, name, fail));
    }
    async #refuse({ reply, key }, fail) {
        this.#recordRefusal(key, fail);
        await reply
            .status(FAILURE_KINDS[fail.code].status)
            .headers({ 'idempotency-key': key, ...retryAfter(fail) })
            .send(formatFailure(fail));
    }
    #recordRefusal(key, fail) {
        const detail = `${fail.code}: ${fail.subject}`;
        this.runtime.recorder.record('requestRefused', { request: key, detail });
    }
};
__decorate([
    Post('/v1/chat/completions'),
    __param(0, Req()),
    __param(1, Res()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [Object, Object]),
    __metadata("design:returntype", Promise)
], CallersController.prototype, "complete", null);
__decorate([
    All('/services/*'),
    __param(0, Req()),
    __param(1, Res()),
    __metadata("design:type", Function),
    __metadata("design:paramtypes", [Object, Object]),
    __metadata("design:returntype", Promise)
], CallersController.prototype, "pass", null);
CallersController = __decorate([
    Controller(),
    __param(0, Inject(Runtime)),
    __metadata("design:paramtypes", [Runtime])
], CallersController);
export { CallersController };
//# sourceMappingURL=callers.controller.js.map