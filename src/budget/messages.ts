/** Messages of the budget aggregate between daemons. */
import * as z from 'zod';

/** Asks another holder for a loan, because units run low or a request would be refused. */
export const borrowSchema = z
  .object({
    type: z.literal('borrow'),
    budget: z.string(),
    /** Units missing for the waiting request; 0 for a background refill. */
    missing: z.number().int().nonnegative(),
    /** Further units that the borrower asks for, up to its target. */
    wanted: z.number().int().nonnegative(),
    /** State of the budget as the store last showed it to the borrower. */
    outlook: z.object({ unspent: z.number(), totalRate: z.number() }).readonly(),
    /** The lender's counter for the borrower, as the borrower last received it. */
    known: z.number().int().nonnegative(),
    /** Whether neither the borrower nor the holders that it has asked reach the store; absent if not. */
    isStoreDown: z.boolean().optional(),
  })
  .readonly();

/** The lender's counter of all units lent to the borrower: a reply, or a loan without a request. */
export const lentSchema = z
  .object({
    type: z.literal('lent'),
    /** Incarnation of the lender. */
    lender: z.string(),
    passed: z.number().int().nonnegative(),
    /** Units that the lender still has available. */
    left: z.number().int(),
    /** Whether the lender's backup has stored the counter; if not, the borrower must ignore it. */
    isDurable: z.boolean(),
    /** Budget of a loan without a request; absent in a reply. */
    budget: z.string().optional(),
    /**
     * Borrower of a loan without a request; a later incarnation of its instance must ignore the
     * counter.
     */
    borrower: z.string().optional(),
    /**
     * Unspent units of the budget, as the store last showed them to the lender; absent if unknown.
     */
    unspent: z.number().int().optional(),
    /** Whether the lender reaches the store, and so has drawn for the borrower what there is; absent if so. */
    isStoreUp: z.boolean().optional(),
  })
  .readonly();

/** Schemas of the messages of the budget aggregate. */
export const budgetMessages = [borrowSchema, lentSchema] as const;
