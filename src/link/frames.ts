/** Frames of a peer link: handshake, heartbeats, requests and replies. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import * as z from 'zod';

import { peerMessageSchema } from './messages.js';

const stampSchema = z.object({ wall: z.number(), count: z.number() }).readonly();

/** First frame, from the listener: asks the connecting side to prove that it knows the fleet key. */
const challengeSchema = z.object({ kind: z.literal('challenge'), nonce: z.string() });

/** From the connecting side: its incarnation, its proof for the challenge, and a nonce for the listener. */
const helloSchema = z.object({
  kind: z.literal('hello'),
  from: z.string(),
  nonce: z.string(),
  proof: z.string(),
});

/** From the listener: its incarnation and its proof for the nonce in the hello frame. */
const welcomeSchema = z.object({ kind: z.literal('welcome'), from: z.string(), proof: z.string() });

const heartbeatSchema = z.object({ kind: z.literal('heartbeat') });

const requestSchema = z.object({
  kind: z.literal('request'),
  id: z.number().int(),
  stamp: stampSchema,
  body: peerMessageSchema,
});

const replySchema = z.object({
  kind: z.literal('reply'),
  id: z.number().int(),
  stamp: stampSchema,
  body: peerMessageSchema,
});

/** Schema of all frames. */
export const frameSchema = z.discriminatedUnion('kind', [
  challengeSchema,
  helloSchema,
  welcomeSchema,
  heartbeatSchema,
  requestSchema,
  replySchema,
]);

/** One frame of a peer link. */
export type Frame = z.infer<typeof frameSchema>;

/**
 * Computes the proof that a daemon knows the fleet key: an HMAC over the nonce and its incarnation.
 * @param fleetKey - secret key that all daemons share
 * @param nonce - nonce that the other side sent
 * @param from - incarnation that presents the proof
 * @returns the proof in hexadecimal
 */
export function computeProof(fleetKey: string, nonce: string, from: string): string {
  return createHmac('sha256', fleetKey).update(`${nonce}\n${from}`).digest('hex');
}

/**
 * Compares two proofs in constant time.
 * @param a - one proof
 * @param b - another proof
 * @returns whether they are equal
 */
export function equalProofs(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
