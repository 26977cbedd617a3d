/** Creates, starts and stops the tasks and clients of one daemon. */
import { CallerConnections, RequestQueue } from '../ingress/index.js';
import { SteadyClock, SystemClock } from '../kernel/index.js';
import { PolledInstanceDirectory, WsPeerNetwork } from '../link/index.js';
import { HttpInstanceList, HttpObjectStore } from '../store/index.js';
import {
  HttpWorkerReportClient,
  HttpModelEngine,
  HttpOrderClient,
  HttpPlainService,
} from '../upstream/index.js';
import { ActiveRequests } from './activerequests.js';
import { Admission } from './admission.js';
import { Backups } from './backups.js';
import { BudgetTask } from './budgettask.js';
import { Charges } from './charges.js';
import { Claims } from './claims.js';
import { ConfigTask } from './configtask.js';
import { Grants } from './grants.js';
import { ShutdownHandover } from './shutdownhandover.js';
import { KeyRegistry } from './keyregistry.js';
import { Lending } from './lending.js';
import { BudgetOperations } from './budgetoperations.js';
import { PlanExecutor } from './planexecutor.js';
import { PlanFollower } from './planfollower.js';
import { PlanOperations } from './planoperations.js';
import { PlanSurvey } from './plansurvey.js';
import { Publisher } from './publisher.js';
import { makeRecorder } from './daemonrecorder.js';
import { LoadReportPoller } from './loadreportpoller.js';
import { Routing } from './routing.js';
import { OpenRequests } from './servingcontext.js';
import { ShardMaintenance } from './shardmaintenance.js';
import { splitAddress } from './settings.js';
import { TimelineTask } from './timelinetask.js';

import type { Recorder } from '../telemetry/index.js';
import type { ServingContext } from './servingcontext.js';
import type { Instance } from '../store/index.js';
import type { Settings } from './settings.js';

/** State of a daemon; new requests are accepted only while "serving". */
export type DaemonPhase = 'starting' | 'serving' | 'stopping';

/** One daemon without its HTTP listener. */
export class Runtime {
  readonly recorder: Recorder;

  readonly serving: ServingContext;

  readonly operations: BudgetOperations;

  readonly plans: PlanOperations;

  readonly timeline: TimelineTask;

  readonly publisher: Publisher;

  readonly network: WsPeerNetwork;

  readonly active = new ActiveRequests();

  readonly #steady = new SteadyClock();

  readonly callers = new CallerConnections(this.#steady);

  readonly requestQueue = new RequestQueue(this.#steady);

  readonly #handover: ShutdownHandover;

  readonly #executor: PlanExecutor;

  readonly #directory: PolledInstanceDirectory;

  readonly #loadReportPoller: LoadReportPoller;

  readonly #care: ShardMaintenance;

  #resolveFenced: () => void = () => undefined;

  /** Resolves when this incarnation must stop, as another daemon has taken over its budget rows. */
  readonly fenced = new Promise<void>((resolve) => {
    this.#resolveFenced = resolve;
  });

  #phase: DaemonPhase = 'starting';

  /**
   * Creates the tasks and clients; nothing runs before `start` is called.
   * @param settings - validated settings
   */
  constructor(settings: Settings) {
    this.recorder = makeRecorder(settings);
    const { recorder } = this;
    const self = recorder.source;
    const store = new HttpObjectStore(settings.platform.objects);
    this.#directory = new PolledInstanceDirectory(
      new HttpInstanceList(settings.platform.instances),
    );
    this.network = new WsPeerNetwork({
      self,
      fleetKey: settings.fleetKey,
      ...splitAddress(settings.listen.peers),
      directory: this.#directory,
      recorder,
    });
    const { network } = this;
    const { dataCentre } = settings;
    const config = new ConfigTask({ self, dataCentre, store, network, recorder });
    const clock = this.#steady;
    const budgets = new BudgetTask(clock);
    const backups = new Backups(self, settings.dataCentre, this.network);
    const { instance } = settings;
    const plans = new PlanFollower({ instance, dataCentre, store, network, recorder });
    const mayReceive = (upstream: string): boolean => plans.mayReceive(upstream);
    const daemons = (): number => this.network.peers().length + 1;
    const charges = new Charges({
      self,
      store,
      backups,
      config,
      recorder,
      onFenced: () => this.#resolveFenced(),
    });
    const grants = new Grants({ self, store, budgets, config, recorder, clock, charges });
    const registerLoan = charges.registerLoan.bind(charges);
    const lending = new Lending({ self, network, budgets, recorder, registerLoan });
    this.#care = new ShardMaintenance({ self, store, backups, network, config, recorder });
    this.serving = {
      self,
      plans,
      settings,
      store,
      config,
      budgets,
      grants,
      admission: new Admission({ budgets, grants, lending, network, recorder }),
      claims: new Claims(self, store),
      keys: new KeyRegistry(self, this.network),
      routing: new Routing({ config, recorder, random: Math.random, daemons, mayReceive }),
      charges,
      engine: new HttpModelEngine(),
      service: new HttpPlainService(),
      recorder,
      open: new OpenRequests(),
    };
    const source = new HttpWorkerReportClient();
    const peers = (): readonly Instance[] => network.peers();
    const { routing } = this.serving;
    this.#loadReportPoller = new LoadReportPoller({ dataCentre, config, routing, source, peers });
    const { open } = this.serving;
    this.#handover = new ShutdownHandover({ self, store, charges, network, recorder });
    this.operations = new BudgetOperations(store, config);
    const { active, operations } = this;
    const follower = plans;
    const work = new PlanSurvey({
      self,
      config,
      store,
      network,
      follower,
      open,
      active,
      charges,
      operations,
    });
    const orders = new HttpOrderClient();
    const ctx = { self, store, config, network, follower, work, orders, recorder };
    this.#executor = new PlanExecutor(ctx);
    this.timeline = new TimelineTask(recorder, network);
    this.plans = new PlanOperations(ctx);
    this.publisher = new Publisher({ store, config, recorder, clock: new SystemClock() });
  }

  /** Whether new requests are accepted: serving, configuration and plans loaded, not fenced. */
  get ready(): boolean {
    const { charges, config, plans } = this.serving;
    const isLoaded = config.current !== undefined && plans.loaded;
    return this.#phase === 'serving' && isLoaded && !charges.isFenced;
  }

  /** Whether a graceful stop has begun. */
  get stopping(): boolean {
    return this.#phase === 'stopping';
  }

  /** Connects to the peers and starts all tasks. */
  async start(): Promise<void> {
    await this.#directory.start();
    this.network.start();
    this.serving.charges.start();
    this.#handover.start();
    this.serving.grants.start();
    this.serving.routing.start();
    this.#loadReportPoller.start();
    this.#care.start();
    void this.serving.config.run();
    this.serving.plans.start();
    this.#executor.start();
    this.#phase = 'serving';
    this.recorder.record('daemonStarted');
  }

  /**
   * Stops accepting new requests and executing plans.
   * @param cause - why the daemon stops, for the log
   */
  beginStop(cause: string): void {
    this.#phase = 'stopping';
    this.#executor.stop();
    this.recorder.record('daemonStopping', { facts: { cause } });
  }

  /**
   * Hands over state, stops all tasks and closes the peer links. Must be called only when no request
   * is open, since it does not wait for requests.
   */
  async finishStop(): Promise<void> {
    const { config } = this.serving;
    await this.serving.admission.leave();
    this.serving.routing.stop();
    this.#loadReportPoller.stop();
    this.#care.stop();
    await this.serving.keys.handOver();
    await this.#handover.run();
    config.stop();
    this.serving.plans.stop();
    this.#directory.stop();
    await this.network.stop();
    this.recorder.record('daemonStopped');
    this.recorder.flush();
  }
}
