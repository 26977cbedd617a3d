/** Messages between daemons of the budget aggregate. */
import { z } from 'zod';

/** A holder that runs low or is about to refuse a request asks another holder for units. */
export const borrowSchema = z
  .object({
    type: z.literal('borrow'),
    budget: z.string(),
    /** Units that the waiting request lacks; 0 in the background. */
    missing: z.number().int().nonnegative(),
    /** Units that the borrower would like to keep ready besides. */
    wanted: z.number().int().nonnegative(),
    /** What the store last showed the borrower of the budget. */
    outlook: z.object({ unspent: z.number(), totalRate: z.number() }).readonly(),
    /** Lender's counter for the borrower, as the borrower knows it. */
    known: z.number().int().nonnegative(),
  })
  .readonly();

/** The lender's counter for the borrower: units lent in all, durable at the lender's backup. */
export const lentSchema = z
  .object({
    type: z.literal('lent'),
    /** Incarnation that lends. */
    lender: z.string(),
    passed: z.number().int().nonnegative(),
    /** Units that the lender still has available. */
    left: z.number().int(),
    /** Whether the counter may be used: the lender's backup knows it. */
    isDurable: z.boolean(),
    /** Budget of a loan that nobody asked for; absent in a reply. */
    budget: z.string().optional(),
    /** Incarnation that such a loan is made out to; a later life of it must not use the counter. */
    borrower: z.string().optional(),
    /** Units of the budget that nobody has spent, as the lender last saw it; absent if unknown. */
    unspent: z.number().int().optional(),
  })
  .readonly();

/** Schemas of the messages. */
export const budgetMessages = [borrowSchema, lentSchema] as const;
