/** Messages between daemons of the budget aggregate. */
import { z } from 'zod';

import { peerCounterSchema } from './escrow.js';

/** A holder that is about to refuse a request asks another holder for units. */
export const borrowSchema = z
  .object({
    type: z.literal('borrow'),
    budget: z.string(),
    /** Units that the waiting request lacks. */
    missing: z.number().int().positive(),
    /** Lender's counter for the borrower, as the borrower knows it. */
    known: z.number().int().nonnegative(),
  })
  .readonly();

/** The lender's counter for the borrower: units lent in all, durable at the lender's backup. */
export const lentSchema = z
  .object({
    type: z.literal('lent'),
    passed: z.number().int().nonnegative(),
    /** Units that the lender still has available. */
    left: z.number().int(),
    /** Whether the counter may be used: the lender's backup knows it. */
    durable: z.boolean(),
  })
  .readonly();

/** A lender hands its loans to its backup before the borrower may use them. */
export const copyCountersSchema = z
  .object({
    type: z.literal('copy-counters'),
    holder: z.string(),
    budget: z.string(),
    passed: z.array(peerCounterSchema).readonly(),
  })
  .readonly();

/** The backup keeps the loans, or refuses a holder that it has fenced. */
export const countersCopiedSchema = z
  .object({ type: z.literal('counters-copied'), accepted: z.boolean() })
  .readonly();

/** Schemas of the messages. */
export const budgetMessages = [
  borrowSchema,
  lentSchema,
  copyCountersSchema,
  countersCopiedSchema,
] as const;
