/** Names that operators give. */
import { z } from 'zod';

/** Names are short and safe in object keys, paths and logs. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected 1 to 63 lower-case letters, digits and hyphens');
