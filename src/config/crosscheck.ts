/** Checks across documents: unique names and key digests, valid references, document size. */
import { suggest } from '../kernel/index.js';
import { KIND_SINGULARS } from './entries.js';

import type { PlanDocument } from '../plan/document.js';
import type { DocumentKind } from './documentdifference.js';
import type { Route, UpstreamDocument, Workspace } from './documents.js';
import type { Entry } from './entries.js';

type Path = readonly PropertyKey[];

/** Largest document, in bytes of JSON, so that a piece with it stays under one megabyte. */
export const MAX_DOCUMENT_BYTES = 900_000;

/** A document that failed its schema check. Its name still counts as declared. */
export interface BrokenEntry {
  readonly kind: DocumentKind;
  readonly name: string;
}

/** Location of a value: the index of its file in the run, and the path within that file. */
export interface SourcePath {
  readonly source: number;
  readonly path: Path;
}

/** A problem found by the checks across documents. */
export interface Finding extends SourcePath {
  readonly text: string;
  readonly remedy: string;
  /** Location of the first declaration, if this one is a duplicate. */
  readonly earlier?: SourcePath;
}

/** Declared names of each kind, and the workspace of each budget. */
class NameIndex {
  readonly #names = new Map<DocumentKind, Set<string>>();

  readonly #owners = new Map<string, string>();

  constructor(entries: readonly Entry[], broken: readonly BrokenEntry[]) {
    entries.forEach((entry) => {
      this.#add(entry.kind, entry.document.name);
      if (entry.kind === 'budgets') {
        this.#owners.set(entry.document.name, entry.document.workspace);
      }
    });
    broken.forEach(({ kind, name }) => this.#add(kind, name));
  }

  /** Workspace that owns a budget; undefined if the budget is unknown or failed its schema. */
  ownerOf(budget: string): string | undefined {
    return this.#owners.get(budget);
  }

  /** Problem of a reference to an undeclared name; undefined if the name is declared. */
  missing(kind: DocumentKind, name: string): Pick<Finding, 'text' | 'remedy'> | undefined {
    const names = this.#names.get(kind) ?? new Set();
    if (names.has(name)) return undefined;
    const text = `there is no ${KIND_SINGULARS[kind]} "${name}"`;
    return { text, remedy: suggest(name, [...names], kind) };
  }

  #add(kind: DocumentKind, name: string): void {
    const names = this.#names.get(kind) ?? new Set();
    this.#names.set(kind, names.add(name));
  }
}

function sourcePathOf({ source, kind, index }: Entry, ...path: Path): SourcePath {
  return { source, path: [kind, index, ...path] };
}

function prefixWithPath(sourcePath: SourcePath, text: string): string {
  return `${sourcePath.path.map(String).join('.')}: ${text}`;
}

function makeFinding(sourcePath: SourcePath, text: string, remedy: string): Finding {
  return { ...sourcePath, text: prefixWithPath(sourcePath, text), remedy };
}

function duplicateNames(entries: readonly Entry[]): readonly Finding[] {
  const firstUses = new Map<string, SourcePath>();
  return entries.flatMap((entry) => {
    const { name } = entry.document;
    const qualifiedName = `${entry.kind}/${name}`;
    const sourcePath = sourcePathOf(entry, 'name');
    const earlier = firstUses.get(qualifiedName);
    if (!earlier) firstUses.set(qualifiedName, sourcePath);
    if (!earlier) return [];
    const text = `${KIND_SINGULARS[entry.kind]} "${name}" is declared twice`;
    return [{ ...makeFinding(sourcePath, text, 'rename or remove one of the two'), earlier }];
  });
}

function duplicateKeys(entries: readonly Entry[]): readonly Finding[] {
  const firstUses = new Map<string, SourcePath>();
  return entries.flatMap((entry) => {
    if (entry.kind !== 'workspaces') return [];
    return entry.document.keys.flatMap(({ sha256 }, index) => {
      const sourcePath = sourcePathOf(entry, 'keys', index, 'sha256');
      const earlier = firstUses.get(sha256);
      if (!earlier) firstUses.set(sha256, sourcePath);
      if (!earlier) return [];
      const text = 'this key digest is declared twice';
      return [{ ...makeFinding(sourcePath, text, 'make a key of its own for each use'), earlier }];
    });
  });
}

function checkWorkspace(entry: Entry, { name, keys }: Workspace, index: NameIndex): Finding[] {
  return keys.flatMap(({ budget }, position) => {
    const sourcePath = sourcePathOf(entry, 'keys', position, 'budget');
    const missing = index.missing('budgets', budget);
    if (missing) return [makeFinding(sourcePath, missing.text, missing.remedy)];
    const owner = index.ownerOf(budget);
    if (owner === undefined || owner === name) return [];
    const text = `budget "${budget}" belongs to workspace "${owner}", not to "${name}"`;
    return [makeFinding(sourcePath, text, 'name a budget of this workspace')];
  });
}

function checkRoute(entry: Entry, route: Route): readonly Finding[] {
  const { defaultOutputTokens, maxOutputTokens } = route;
  if (defaultOutputTokens <= maxOutputTokens) return [];
  const text = `${defaultOutputTokens} is more than maxOutputTokens, ${maxOutputTokens}`;
  return [
    makeFinding(
      sourcePathOf(entry, 'defaultOutputTokens'),
      text,
      'lower it, or raise maxOutputTokens',
    ),
  ];
}

function checkReference(
  entry: Entry,
  field: string,
  missing: ReturnType<NameIndex['missing']>,
): readonly Finding[] {
  return missing ? [makeFinding(sourcePathOf(entry, field), missing.text, missing.remedy)] : [];
}

function checkUpstream(
  entry: Entry,
  { route }: UpstreamDocument,
  index: NameIndex,
): readonly Finding[] {
  return checkReference(entry, 'route', index.missing('routes', route));
}

function checkPlan(entry: Entry, plan: PlanDocument, index: NameIndex): readonly Finding[] {
  if (plan.kind === 'upstream') {
    return checkReference(entry, 'upstream', index.missing('upstreams', plan.upstream));
  }
  return checkReference(entry, 'workspace', index.missing('workspaces', plan.workspace));
}

function checkEntry(entry: Entry, index: NameIndex): readonly Finding[] {
  switch (entry.kind) {
    case 'workspaces':
      return checkWorkspace(entry, entry.document, index);
    case 'budgets': {
      const { workspace } = entry.document;
      return checkReference(entry, 'workspace', index.missing('workspaces', workspace));
    }
    case 'routes':
      return checkRoute(entry, entry.document);
    case 'upstreams':
      return checkUpstream(entry, entry.document, index);
    default:
      return checkPlan(entry, entry.document, index);
  }
}

function checkSize(entry: Entry): readonly Finding[] {
  const bytes = Buffer.byteLength(JSON.stringify(entry.document));
  if (bytes <= MAX_DOCUMENT_BYTES) return [];
  const text = `${bytes} bytes, more than ${MAX_DOCUMENT_BYTES}`;
  return [makeFinding(sourcePathOf(entry, 'name'), text, 'split it into several documents')];
}

/** Input of the checks across documents. */
export interface CrossCheckInput {
  readonly entries: readonly Entry[];
  /** Documents that failed their schema. */
  readonly broken: readonly BrokenEntry[];
  /** Whether every file was read: if not, a missing name proves nothing, and is not reported. */
  readonly isComplete: boolean;
}

/**
 * Checks the size of each document, duplicate names and keys, and references between documents.
 * @param input - documents of all files of a run, or of a whole revision
 * @returns all problems found
 */
export function crossCheck({ entries, broken, isComplete }: CrossCheckInput): readonly Finding[] {
  const index = new NameIndex(entries, broken);
  const sizeFindings = entries.flatMap((entry) => checkSize(entry));
  const duplicates = [...duplicateNames(entries), ...duplicateKeys(entries)];
  if (!isComplete) return [...sizeFindings, ...duplicates];
  return [...sizeFindings, ...duplicates, ...entries.flatMap((entry) => checkEntry(entry, index))];
}
