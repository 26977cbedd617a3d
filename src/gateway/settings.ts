/** Settings of a gateway daemon, read from a YAML file. */
import { z } from 'zod';

import { addressSchema } from '../daemon/settings.js';
import { safeParseYaml } from '../kernel/index.js';

import type { Problem, Result } from '../kernel/index.js';

/** Schema of the settings file. */
export const gatewaySettingsSchema = z
  .strictObject({
    /** Name of the instance. */
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    listen: z
      .strictObject({
        /** Callers, over HTTP. */
        callers: addressSchema,
        /** The balancer's question whether this daemon takes callers. */
        readiness: addressSchema,
        /** Other daemons. */
        peers: addressSchema,
        /** Counters and histograms, as text. */
        metrics: addressSchema,
      })
      .readonly(),
    /** Path of the balancer's question. */
    readinessPath: z.string().startsWith('/').default('/readyz'),
    /** Address of the platform's store. */
    store: addressSchema,
    logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    /** Time from the signal to stop until the process is killed, in milliseconds. */
    stopMs: z.number().positive().default(8_000),
    retries: z
      .strictObject({
        /** Repeats that one request pays for, over all daemons. */
        perRequest: z.number().nonnegative().default(0.1),
        /** Repeats that all daemons together may make at once besides. */
        reserve: z.number().nonnegative().default(50),
      })
      .readonly()
      .prefault({}),
    allowances: z
      .strictObject({
        /** Shard objects in the store; the number that a fleet started with stays. */
        shards: z.number().int().positive().default(8),
        /** Time that a daemon should be able to serve without store and peers, in seconds. */
        aloneSeconds: z.number().positive().default(10),
        /**
         * Share of a workspace's unspent units that all daemons together keep ready: what is lost
         * if all of them die at once, and what they can serve while the store is away.
         */
        exposure: z.number().positive().max(1).default(0.2),
        /** Part of that share which they keep ready without demand. */
        idlePart: z.number().min(0).max(1).default(0.5),
        /**
         * Most daemons of a data centre in which all of them keep units ready; in a larger one a single
         * daemon does for each workspace, and the others borrow from it. The same at every daemon.
         */
        holdersUpTo: z.number().int().positive().default(3),
      })
      .readonly()
      .prefault({}),
    engines: z
      .strictObject({
        /** Prompt tokens that a model upstream reads in a millisecond. */
        tokensPerMs: z.number().positive().default(60),
      })
      .readonly()
      .prefault({}),
  })
  .readonly();

/** Settings of a gateway daemon. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/**
 * Reads settings.
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
