/** Schema of names chosen by operators. */
import * as z from 'zod';

/** Restricts names to characters that need no escaping in object keys, paths and logs. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected 1 to 63 lower-case letters, digits and hyphens');
