/** Composes the tasks and clients of one daemon. */
import { StatsD } from 'hot-shots';
import { pino } from 'pino';
import { newIncarnation, SystemClock } from '../kernel/index.js';
import { Directory, WsPeerNetwork } from '../link/index.js';
import { HttpInstanceList, HttpObjectStore } from '../platform/index.js';
import { Recorder } from '../telemetry/index.js';
import { HttpModelEngine, HttpOrderClient, HttpPlainService } from '../upstream/index.js';
import { ActiveRequests } from './activerequests.js';
import { Backups } from './backups.js';
import { BudgetTask } from './budgettask.js';
import { Charges } from './charges.js';
import { Claims } from './claims.js';
import { ConfigTask } from './configtask.js';
import { Grants } from './grants.js';
import { Handover } from './handover.js';
import { KeyRegistry } from './keyregistry.js';
import { Operations } from './operations.js';
import { PlanExecutor } from './planexecutor.js';
import { PlanFollower } from './planfollower.js';
import { PlanOperations } from './planoperations.js';
import { PlanWork } from './planwork.js';
import { Routing } from './routing.js';
import { OpenWork } from './serving.js';
import { splitAddress } from './settings.js';
/** Address of the metrics client that sends nothing. */
const UNUSED_ADDRESS = '127.0.0.1:8125';
function makeRecorder(settings) {
    const { host, port } = splitAddress(settings.metrics ?? UNUSED_ADDRESS);
    const metrics = new StatsD({
        host,
        port,
        prefix: 'comfreyreel.',
        mock: settings.metrics === undefined,
        globalTags: { instance: settings.instance, data_centre: settings.dataCentre },
        errorHandler: () => undefined,
    });
    const logger = pino({ level: settings.logLevel, base: { instance: settings.instance } });
    const self = newIncarnation(settings.instance);
    return new Recorder(self, new SystemClock(), { logger, metrics });
}
/** One daemon without its HTTP listener. */
export class Runtime {
    recorder;
    serving;
    operations;
    plans;
    network;
    active = new ActiveRequests();
    #handover;
    #executor;
    #directory;
    #phase = 'starting';
    /**
     * Composes a daemon; nothing runs before "start".
     * @param settings - checked settings
     */
    constructor(settings) {
        this.recorder = makeRecorder(settings);
        const { recorder } = this;
        const self = recorder.source;
        const store = new HttpObjectStore(settings.platform.objects);
        this.#directory = new Directory(new HttpInstanceList(settings.platform.instances));
        this.network = new WsPeerNetwork({
            self,
            fleetKey: settings.fleetKey,
            ...splitAddress(settings.listen.peers),
            directory: this.#directory,
            recorder,
        });
        const config = new ConfigTask(store, recorder);
        const budgets = new BudgetTask();
        const backups = new Backups(self, settings.dataCentre, this.network);
        const backup = () => backups.choice ?? null;
        const { network } = this;
        const { instance, dataCentre } = settings;
        const plans = new PlanFollower({ instance, dataCentre, store, network, recorder });
        const mayReceive = (upstream) => plans.mayReceive(upstream);
        const daemons = () => this.network.peers().length + 1;
        this.serving = {
            self,
            plans,
            settings,
            store,
            config,
            budgets,
            grants: new Grants({ self, store, budgets, config, recorder, backup }),
            claims: new Claims(self, store),
            keys: new KeyRegistry(self, this.network),
            charges: new Charges({ self, store, backups, config, recorder }),
            routing: new Routing({ config, recorder, random: Math.random, daemons, mayReceive }),
            engine: new HttpModelEngine(),
            service: new HttpPlainService(),
            recorder,
            open: new OpenWork(),
        };
        const { charges, open } = this.serving;
        this.#handover = new Handover({ self, store, budgets, charges, config, network, recorder });
        this.operations = new Operations(store, config);
        const { active, operations } = this;
        const follower = plans;
        const work = new PlanWork({ store, network, follower, open, active, charges, operations });
        const orders = new HttpOrderClient();
        const ctx = { self, store, config, network, follower, work, orders, recorder };
        this.#executor = new PlanExecutor(ctx);
        this.plans = new PlanOperations(ctx);
    }
    /** Whether the daemon takes new work: it serves and has a configuration. */
    get ready() {
        const { config, plans } = this.serving;
        return this.#phase === 'serving' && config.current !== undefined && plans.loaded;
    }
    /** Whether a graceful stop has begun. */
    get stopping() {
        return this.#phase === 'stopping';
    }
    /** Opens the links and begins to follow the configuration. */
    async start() {
        await this.#directory.start();
        this.network.start();
        this.serving.charges.start();
        this.#handover.start();
        this.serving.routing.start();
        void this.serving.config.run();
        this.serving.plans.start();
        this.#executor.start();
        this.#phase = 'serving';
        this.recorder.record('daemonStarted');
    }
    /** Stops taking new work. */
    beginStop() {
        this.#phase = 'stopping';
        this.#executor.stop();
        this.recorder.record('daemonStopping');
    }
    /** Delivers what is left and closes the links, once no request is open. */
    async finishStop() {
        const { charges, config } = this.serving;
        charges.stop();
        this.serving.routing.stop();
        await this.#handover.run();
        await this.serving.keys.handOver();
        config.stop();
        this.serving.plans.stop();
        this.#directory.stop();
        await this.network.stop();
        this.recorder.record('daemonStopped');
    }
}
//# sourceMappingURL=runtime.js.map