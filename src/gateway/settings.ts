/** Settings of a gateway daemon, read from a YAML file. */
import * as z from 'zod';

import { addressSchema } from '../daemon/settings.js';
import { safeParseYaml } from '../kernel/index.js';

import type { Problem, Result } from '../kernel/index.js';

/** Schema of the settings file. */
export const gatewaySettingsSchema = z
  .strictObject({
    /** Name of the instance. */
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Region of each data centre; requests of routes and workspaces with homes are served nowhere else. */
    regions: z.record(z.string(), z.string()).nullish(),
    listen: z
      .strictObject({
        /** Address for callers, over HTTP. */
        callers: addressSchema,
        /** Address for readiness checks by the load balancer. */
        readiness: addressSchema,
        /** Address for links from other daemons. */
        peers: addressSchema,
        /** Address for metrics in the text format of Prometheus. */
        metrics: addressSchema,
      })
      .readonly(),
    /** Path of the readiness checks. */
    readinessPath: z.string().startsWith('/').default('/readyz'),
    /** Address of the platform's store. */
    store: addressSchema,
    /**
     * Longest time for which the store holds one watch of the configuration or the upstreams, in milliseconds. A connection to
     * the store that went silent is noticed when it ends; a longer wait saves calls.
     */
    watchMs: z.number().positive().max(30_000).default(3_000),
    /**
     * Times in which changes in the store must be in force, in milliseconds. Changes are gathered for a part of them, which
     * saves calls to the store; without them, for 400 ms.
     */
    changes: z
      .strictObject({
        /** For a configuration. */
        applyMs: z.number().positive().nullish(),
        /** For an upstream that leaves: time after which it must get no requests. */
        drainMs: z.number().positive().nullish(),
      })
      .nullish(),
    /**
     * Time in which the evacuation of a data centre must be in force, in milliseconds. Without it this daemon does not
     * follow evacuations.
     */
    evacuateMs: z.number().positive().nullish(),
    /** Whether requests are placed by the pace of the upstreams, as they state it and as it is learned. */
    usesPace: z.boolean().default(false),
    logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    processor: z
      .strictObject({
        /** Share of a core that the instance gives to the daemon. */
        share: z.number().positive().default(1),
        /** Speed of its core, as a multiple of the usual one. */
        speed: z.number().positive().default(1),
      })
      .readonly()
      .prefault({}),
    /** Number of files and sockets that the process may have open; by default the limit of the operating system. */
    openFiles: z.number().int().positive().nullish(),
    /** Memory above which the instance ends the process, in megabytes; by default the memory of the machine. */
    memoryMb: z.number().positive().nullish(),
    /** Time from the stop signal until the process is killed, in milliseconds. */
    stopMs: z.number().positive().default(8_000),
    retries: z
      .strictObject({
        /** Average number of retries that the fleet may make per request. */
        perRequest: z.number().nonnegative().default(0.1),
        /** Additional retries that the fleet may make in a burst. */
        reserve: z.number().nonnegative().default(50),
      })
      .readonly()
      .prefault({}),
    allowances: z
      .strictObject({
        /** Number of shard objects in the store; a fleet keeps the number that it was first started with. */
        shards: z.number().int().positive().default(8),
        /** Time for which a daemon should be able to serve requests without store and peers, in seconds. */
        aloneSeconds: z.number().positive().default(10),
        /**
         * Share of a workspace's unspent units that all daemons together keep available. These units are
         * lost if all daemons crash at once, and are all that they can spend while the store is unavailable.
         */
        exposure: z.number().positive().max(1).default(0.2),
        /** Part of this share that the daemons keep available even without demand. */
        idlePart: z.number().min(0).max(1).default(0.5),
        /**
         * Number of daemons in a data centre up to which all of them keep units of every workspace. In a
         * larger data centre one daemon for each workspace does so, and the others borrow from it. Must be
         * the same at every daemon.
         */
        holdersUpTo: z.number().int().positive().default(3),
      })
      .readonly()
      .prefault({}),
    engines: z
      .strictObject({
        /** Prompt tokens that a model upstream processes per millisecond. */
        tokensPerMs: z.number().positive().default(60),
      })
      .readonly()
      .prefault({}),
  })
  .readonly();

/** Settings of a gateway daemon. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/**
 * Returns the processor capacity of an instance. Daemons with more of it hold the prepaid units of others.
 * @param settings - settings of its daemon
 * @returns cores of the usual speed
 */
export function processorCores({ processor }: GatewaySettings): number {
  return processor.share * processor.speed;
}

/**
 * Parses and validates a settings file.
 * @param file - name of the file, for messages
 * @param text - content of the file
 * @returns the settings, or every problem with its place and remedy
 */
export function safeParseGatewaySettings(
  file: string,
  text: string,
): Result<GatewaySettings, readonly Problem[]> {
  return safeParseYaml(file, text, gatewaySettingsSchema);
}
