/** Settings of a daemon, read from a YAML file. */
import * as z from 'zod';

import { MIB_BYTES, safeParseYaml } from '../kernel/index.js';

import type { Problem, Result } from '../kernel/index.js';

/** Default limit of a request body, in bytes. */
const DEFAULT_BODY_BYTES = 4 * MIB_BYTES;

/** Schema of an address: IPv4 address and port. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an address such as "127.0.0.1:8080"');

const baseUrlSchema = z.url({
  protocol: /^https?$/,
  error: 'expected a base address, "http://IP:port"',
});

/** Schema of the settings file. */
export const settingsSchema = z
  .strictObject({
    /** Name of the instance, as the platform lists it. */
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    listen: z
      .strictObject({
        /** Address for callers, operators and the load balancer, over HTTP. */
        callers: addressSchema,
        /** Address for links from other daemons. */
        peers: addressSchema,
      })
      .readonly(),
    platform: z.strictObject({ objects: baseUrlSchema, instances: baseUrlSchema }).readonly(),
    /** Key shared by all daemons; authenticates the links between them. */
    fleetKey: z.string().min(16, 'expected at least 16 characters'),
    /** Key that operators send with their requests. */
    operatorKey: z.string().min(16, 'expected at least 16 characters'),
    /** Address of the StatsD server; if absent, no metrics are sent. */
    metrics: addressSchema.optional(),
    logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    limits: z
      .strictObject({
        bodyBytes: z.number().int().positive().default(DEFAULT_BODY_BYTES),
        /** Longest wait of a request for budget units before it is refused, in milliseconds. */
        admissionMs: z.number().int().positive().default(2_000),
      })
      .readonly()
      .prefault({}),
  })
  .readonly();

/** Settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Parses and validates the settings file.
 * @param file - name of the file, for messages
 * @param text - content of the file
 * @returns the settings, or all problems, each with its position and remedy
 */
export function safeParseSettings(
  file: string,
  text: string,
): Result<Settings, readonly Problem[]> {
  return safeParseYaml(file, text, settingsSchema);
}

/** Host and port of an address. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address of the settings.
 * @param address - "IP:port"
 * @returns host and port
 */
export function splitAddress(address: string): Address {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
