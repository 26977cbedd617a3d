/** Proof: an upstream is removed while two daemons are cut off and another is suspended. */
import { setTimeout as delay } from 'node:timers/promises';

import { FakeInstanceList } from '../fakes/index.js';
import { callModel } from '../testbed/caller.js';
import { DaemonProcess } from '../testbed/daemonprocess.js';
import { API_KEY } from '../testbed/documents.js';
import { Fleet } from '../testbed/fleet.js';
import { freePort } from '../testbed/ports.js';
import { Relay } from '../testbed/relay.js';
import { waitFor } from '../testbed/wait.js';
import { ensure, Proof } from './proof.js';

import type { FakeModelEngine } from '../fakes/index.js';
import type { PlanActionResult, PlanState } from '../src/plan/index.js';
import type { ReceivedAnswer } from '../testbed/caller.js';
import type { ProofContext } from './proof.js';

const HOST = '127.0.0.1';
const PLAN = 'engine-leaves';
const LONG_STREAMS = 12;
const LONG_TOKENS = 400;
const SHORT_TOKENS = 3;
const TOKEN_MS = 20;

/** Time after acceptance from which the upstream may receive no new request, in milliseconds. */
const NEW_WORK_TIMEOUT_MS = 3_000;

/** Time for which callers keep sending requests after the acceptance, in milliseconds. */
const LOAD_DURATION_MS = 9_000;

/** Time from the acceptance until the suspended daemon is resumed, in milliseconds. */
const RESUME_DELAY_MS = 5_000;

/** Interval between the requests of one caller, in milliseconds. */
const REQUEST_INTERVAL_MS = 60;

/** Maximum time until the plan is done, in milliseconds. */
const PLAN_TIMEOUT_MS = 45_000;

/** Daemons that are cut off from the rest of the fleet but still reach each other. */
const CUT_OFF_DAEMONS = [
  { name: 'entry-4', dataCentre: 'dc-1' },
  { name: 'entry-5', dataCentre: 'dc-2' },
] as const;

/** Daemons whose connections to the other daemons and to the store all run through relays. */
interface CutOffGroup {
  readonly daemons: readonly DaemonProcess[];
  readonly relays: readonly Relay[];
  readonly list: FakeInstanceList;
}

/** Whether the upstream checks fencing numbers, and when the executor is killed. */
interface Variant {
  readonly checksFencing: boolean;
  /** Whether the first order has reached the upstream when the executor is killed. */
  readonly arrived: boolean;
}

/** Runs the plan against an upstream that checks fencing numbers and one that ignores them. */
export class DepartureProof extends Proof {
  override readonly name = 'departure';

  override readonly requirement =
    'an upstream that is leaving receives no new work after a few seconds';

  override readonly short = false;

  override async run(ctx: ProofContext): Promise<void> {
    await this.#runVariant(ctx, { checksFencing: true, arrived: false });
    await this.#runVariant(ctx, { checksFencing: false, arrived: true });
  }

  async #runVariant(ctx: ProofContext, variant: Variant): Promise<void> {
    const fleet = await Fleet.start({
      daemons: 3,
      engines: 3,
      units: 10_000_000,
      tokenMs: TOKEN_MS,
    });
    let cutOffGroup: CutOffGroup | undefined;
    try {
      await this.#publishPlan(fleet, variant);
      cutOffGroup = await this.#addCutOffGroup(fleet);
      await this.#prefetchUnits(fleet, cutOffGroup.daemons);
      await this.#run(ctx, fleet, cutOffGroup, variant);
    } finally {
      await fleet.stop();
      await Promise.all((cutOffGroup?.relays ?? []).map((relay) => relay.stop()));
      await cutOffGroup?.list.stop();
    }
  }

  async #publishPlan(fleet: Fleet, variant: Variant): Promise<void> {
    const { checksFencing, arrived } = variant;
    const { documents } = fleet;
    const upstreams = documents.upstreams.map((upstream) =>
      upstream.name === 'engine-1' ? { ...upstream, checksFencing } : upstream,
    );
    fleet.engines[0]?.orders.setFaults({ checksFencing, delayMs: arrived ? 300 : 0 });
    const orders = ['unload', 'stop'] as const;
    const plan = { kind: 'upstream', name: PLAN, upstream: 'engine-1', orders } as const;
    await fleet.publish({ ...documents, upstreams, plans: [plan] });
    await waitFor('the plan is armed', async () => (await this.#plan(fleet)).phase === 'armed');
  }

  async #plan(fleet: Fleet, index = 0): Promise<PlanState> {
    const plans = await fleet.daemon(index).operator<readonly PlanState[]>('plans');
    const plan = plans.find(({ document }) => document.name === PLAN);
    if (!plan) throw new Error('the plan is missing');
    return plan;
  }

  /** Adds two daemons that are each other's replica, so that they keep serving when cut off. */
  async #addCutOffGroup(fleet: Fleet): Promise<CutOffGroup> {
    const mainPeers = fleet.daemons.map(({ listed }) => listed);
    const outward = await Promise.all(
      fleet.daemons.map(({ peerPort }) => Relay.start(HOST, peerPort)),
    );
    const store = await Relay.start(HOST, Number(new URL(fleet.urls.objects).port));
    const peerPorts = await Promise.all(CUT_OFF_DAEMONS.map(() => freePort()));
    const inward = await Promise.all(peerPorts.map((port) => Relay.start(HOST, port)));
    const members = CUT_OFF_DAEMONS.map(({ name, dataCentre }, index) => {
      const peerPort = peerPorts[index] ?? 0;
      return { name, dataCentre, peerAddress: `${HOST}:${peerPort}`, state: 'live' as const };
    });
    const listPort = await freePort();
    const list = await FakeInstanceList.start({ host: HOST, port: listPort, lagMs: 0 });
    // A leaving instance is not chosen as a replica, but its connections are accepted.
    const relayedPeers = mainPeers.map((peer, index) => {
      const peerAddress = outward[index]?.address ?? peer.peerAddress;
      return { ...peer, peerAddress, state: 'leaving' as const };
    });
    list.set([...relayedPeers, ...members]);
    const daemons = await Promise.all(
      members.map(({ name, dataCentre }, index) =>
        DaemonProcess.start({
          name,
          dataCentre,
          objects: `http://${store.address}`,
          instances: `http://${HOST}:${listPort}`,
          dir: fleet.dir,
          peerPort: peerPorts[index] ?? 0,
        }),
      ),
    );
    fleet.daemons.push(...daemons);
    const seen = members.map((member, index) => ({
      ...member,
      peerAddress: inward[index]?.address ?? member.peerAddress,
    }));
    fleet.list.set([...mainPeers, ...seen]);
    await Promise.all(daemons.map((daemon) => daemon.waitReady()));
    return { daemons, relays: [...outward, store, ...inward], list };
  }

  /** Makes the daemons draw enough units to serve requests without the store. */
  async #prefetchUnits(fleet: Fleet, daemons: readonly DaemonProcess[]): Promise<void> {
    fleet.engines.forEach((engine) => engine.setFaults({ refuse: true }));
    await Promise.all(daemons.map(({ url }) => DepartureProof.#ask(url, 'large', 4_096)));
    fleet.engines.forEach((engine) => engine.setFaults({ refuse: false }));
    // Waits until every daemon has read an instance list with the new daemons.
    await delay(6_000);
  }

  async #run(
    ctx: ProofContext,
    fleet: Fleet,
    cutOffGroup: CutOffGroup,
    variant: Variant,
  ): Promise<void> {
    const leaving = fleet.engines[0];
    if (!leaving) throw new Error('the fleet has no engine');
    const urls = fleet.daemons.slice(0, 3).map(({ url }) => url);
    const long = Array.from({ length: LONG_STREAMS }, (_, index) =>
      DepartureProof.#ask(urls[index % urls.length] ?? '', `long ${index}`, LONG_TOKENS),
    );
    await delay(500);
    ensure(leaving.orders.open > 0, 'no stream is open at the leaving engine');
    const { executor } = await this.#plan(fleet);
    const starter = fleet.daemons.findIndex((daemon) => !executor.startsWith(daemon.options.name));
    const frozen = fleet.daemons
      .slice(0, 3)
      .findIndex((daemon, index) => index !== starter && !executor.startsWith(daemon.options.name));
    const load = { running: true };
    const callers = fleet.daemons.map(({ url }, index) =>
      DepartureProof.#sendRequests(url, index, load),
    );
    await delay(500);
    cutOffGroup.relays.forEach((relay) => relay.setMode('cut'));
    fleet.daemon(frozen).child.signal('SIGSTOP');
    await fleet
      .daemon(starter)
      .order<PlanActionResult>(`plans/${PLAN}`, { action: 'start', operation: 'start-1' });
    await waitFor('the plan is accepted', () => this.#storedPlan(fleet).acceptedAt !== null);
    const acceptedAt = this.#storedPlan(fleet).acceptedAt ?? 0;
    await delay(RESUME_DELAY_MS);
    fleet.daemon(frozen).child.signal('SIGCONT');
    await this.#killExecutor(ctx, fleet, leaving, variant);
    await delay(Math.max(0, acceptedAt + LOAD_DURATION_MS - Date.now()));
    load.running = false;
    await Promise.all(callers);
    this.#checkNewWork(ctx, fleet, acceptedAt);
    const answers = await Promise.all(long);
    this.#checkOpenAnswers(fleet, answers);
    await waitFor(
      'the plan is done',
      () => this.#storedPlan(fleet).phase === 'done',
      PLAN_TIMEOUT_MS,
    ).catch(() =>
      ensure(false, `the plan did not complete: ${JSON.stringify(this.#storedPlan(fleet))}`),
    );
    this.#checkOrders(ctx, leaving, variant);
  }

  #storedPlan(fleet: Fleet): PlanState {
    return fleet.store.peek(`plans/${PLAN}`) as PlanState;
  }

  /** Kills the executor before its first order arrives, or after the upstream has received it. */
  async #killExecutor(
    ctx: ProofContext,
    fleet: Fleet,
    leaving: FakeModelEngine,
    { arrived }: Variant,
  ): Promise<void> {
    const { orders } = leaving;
    const reached = (): boolean =>
      arrived ? orders.received > 0 : this.#storedPlan(fleet).orders[0]?.state === 'intended';
    const deadline = Date.now() + PLAN_TIMEOUT_MS;
    while (!reached() && Date.now() < deadline) {
      // Polls on every event-loop turn: without `arrived`, the executor must be killed in the turn
      // in which the fake store, which runs in this process, recorded the intent.
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    const { executor } = this.#storedPlan(fleet);
    const found = fleet.daemons.find((daemon) => executor.startsWith(`${daemon.options.name}~`));
    ensure(found !== undefined, `no daemon is the executor ${executor}`);
    found.child.signal('SIGKILL');
    await found.child.ended();
    ctx.say(`executor killed with ${orders.received} orders received by the upstream`);
  }

  #checkNewWork(ctx: ProofContext, fleet: Fleet, acceptedAt: number): void {
    const [leaving, ...others] = fleet.engines;
    const late = (leaving?.orders.requests ?? []).filter(
      ({ at }) => at > acceptedAt + NEW_WORK_TIMEOUT_MS,
    );
    const [first] = late;
    const lag = first ? `${first.id} after ${first.at - acceptedAt} ms` : '';
    ensure(
      late.length === 0,
      `${late.length} requests reached the leaving engine too late: ${lag}`,
    );
    const last = Math.max(0, ...(leaving?.orders.requests ?? []).map(({ at }) => at - acceptedAt));
    const elsewhere = others
      .flatMap(({ orders }) => orders.requests)
      .filter(
        ({ at, id }) => at > acceptedAt + NEW_WORK_TIMEOUT_MS && /\.entry-[45]~/.test(id),
      ).length;
    ctx.say(`last request ${last} ms after acceptance; ${elsewhere} by cut-off daemons elsewhere`);
    ensure(
      elsewhere > 0,
      'no request of a cut-off daemon reached another engine: the proof is not conclusive',
    );
  }

  #checkOpenAnswers(fleet: Fleet, answers: readonly ReceivedAnswer[]): void {
    const ended = fleet.daemons.filter(({ child }) => !child.running).length;
    const whole = answers.filter((answer) => answer.isComplete).length;
    ensure(ended === 1, `${ended} daemons exited, expected 1`);
    ensure(whole === answers.length, `${answers.length - whole} open answers are incomplete`);
  }

  #checkOrders(ctx: ProofContext, leaving: FakeModelEngine, { checksFencing }: Variant): void {
    const { executed: given } = leaving.orders;
    const names = given.map(({ order }) => order).join(', ');
    ctx.say(`${checksFencing ? 'checks' : 'ignores'} fencing: orders executed: ${names}`);
    ensure(names === 'unload, stop', `orders executed: ${names}`);
    ensure(
      given.every(({ open }) => open === 0),
      'an order was executed while requests were open',
    );
  }

  static #ask(url: string, prompt: string, maxTokens: number): Promise<ReceivedAnswer> {
    return callModel({ url, apiKey: API_KEY, model: 'drafts', prompt, maxTokens });
  }

  static async #sendRequests(
    url: string,
    index: number,
    load: { readonly running: boolean },
  ): Promise<void> {
    const asked: Promise<ReceivedAnswer>[] = [];
    for (let round = 0; load.running; round += 1) {
      asked.push(DepartureProof.#ask(url, `short ${index}-${round}`, SHORT_TOKENS));
      // New requests are sent while earlier ones are pending, also to a suspended daemon.
      // eslint-disable-next-line no-await-in-loop
      await delay(REQUEST_INTERVAL_MS);
    }
    await Promise.all(asked);
  }
}
