/** Messages between daemons of the budget aggregate. */

/** Schemas of the messages. */
export const budgetMessages = [] as const;
