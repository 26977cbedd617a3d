/** Finds and reads the service files below directories. */
import { readdir, readFile, realpath, stat } from 'node:fs/promises';
import { join, sep } from 'node:path';

import { readServiceFiles } from '../config/index.js';
import { Err, Ok, sizeProblem, START_OF_FILE } from '../kernel/index.js';

import type { Documents, ServiceFile } from '../config/index.js';
import type { Problem, Result } from '../kernel/index.js';

/** File name suffix of service files. */
const SERVICE_FILE_SUFFIX = '.comfreyreel.yaml';

/** Directories that are not searched: dependencies and git data. */
const SKIPPED_DIRECTORIES: readonly string[] = ['node_modules', '.git'];

type ProblemsOr<Value> = Result<Value, readonly Problem[]>;

function unreadableProblems(file: string, err: unknown, remedy: string): readonly Problem[] {
  const { code } = err as NodeJS.ErrnoException;
  return [{ file, ...START_OF_FILE, text: `cannot be read: ${code ?? String(err)}`, remedy }];
}

async function findServiceFiles(dir: string): Promise<ProblemsOr<readonly string[]>> {
  try {
    const root = await realpath(dir);
    const names = await readdir(root, { recursive: true });
    const files = names.filter(
      (name) =>
        name.endsWith(SERVICE_FILE_SUFFIX) &&
        !name.split(sep).some((part) => SKIPPED_DIRECTORIES.includes(part)),
    );
    if (files.length > 0) return Ok(files.map((name) => join(root, name)));
    const text = `there is no file that ends in ${SERVICE_FILE_SUFFIX}`;
    return Err([
      { file: dir, ...START_OF_FILE, text, remedy: 'name a directory with service files' },
    ]);
  } catch (err) {
    return Err(unreadableProblems(dir, err, 'name a readable directory'));
  }
}

async function loadServiceFile(file: string): Promise<ProblemsOr<ServiceFile>> {
  try {
    const { size } = await stat(file);
    const problem = sizeProblem(file, size);
    return problem ? Err([problem]) : Ok({ file, content: await readFile(file) });
  } catch (err) {
    return Err(unreadableProblems(file, err, 'make the file readable, or remove it'));
  }
}

/**
 * Reads and checks every service file below the given directories.
 * @param dirs - directories
 * @returns the documents of all files, or every problem of the run
 */
export async function collectServiceFiles(dirs: readonly string[]): Promise<ProblemsOr<Documents>> {
  const listings = await Promise.all(dirs.map(findServiceFiles));
  const names = new Set(listings.flatMap((listing) => (listing.ok ? listing.val : [])));
  const loaded = await Promise.all([...names].sort().map(loadServiceFile));
  const problems = [...listings, ...loaded].flatMap((found) => (found.err ? found.val : []));
  const files = loaded.flatMap((found) => (found.ok ? [found.val] : []));
  const checked = readServiceFiles(files, problems.length === 0);
  if (problems.length === 0) return checked;
  return Err([...problems, ...(checked.err ? checked.val : [])]);
}
