/** Collects service files from directories. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { documentsSchema, joinDocuments } from '../config/index.js';
import { Err, Ok, safeParseYaml } from '../kernel/index.js';

import type { Documents } from '../config/index.js';
import type { Problem, Result } from '../kernel/index.js';

/** Ending of the names of service files. */
const SUFFIX = '.comfreyreel.yaml';

/**
 * Reads every service file below some directories.
 * @param dirs - directories
 * @returns all documents together, or every problem of the run
 */
export async function readServiceFiles(
  dirs: readonly string[],
): Promise<Result<Documents, readonly Problem[]>> {
  const listings = await Promise.all(
    dirs.map(async (dir) => {
      const names = await readdir(dir, { recursive: true });
      return names.filter((name) => name.endsWith(SUFFIX)).map((name) => join(dir, name));
    }),
  );
  const files = listings.flat().sort();
  const parsed = await Promise.all(
    files.map(async (file) => safeParseYaml(file, await readFile(file, 'utf8'), documentsSchema)),
  );
  const problems = parsed.flatMap((result) => (result.err ? result.val : []));
  if (problems.length > 0) return Err(problems);
  return Ok(joinDocuments(parsed.flatMap((result) => (result.ok ? [result.val] : []))));
}
