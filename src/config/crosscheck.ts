/** Rules between documents: names are unique and references lead somewhere. */
import { suggest } from '../kernel/index.js';
import { KIND_SINGULARS } from './entries.js';

import type { PlanDocument } from '../plan/document.js';
import type { DocumentKind } from './documentdifference.js';
import type { Route, UpstreamDocument, Workspace } from './documents.js';
import type { Entry } from './entries.js';

type Path = readonly PropertyKey[];

/** Largest document, in bytes of JSON, so that a piece stays under a megabyte. */
export const MAX_DOCUMENT_BYTES = 900_000;

/** A document that failed its schema: its name is taken all the same. */
export interface BrokenEntry {
  readonly kind: DocumentKind;
  readonly name: string;
}

/** Where something stands: a file of the run and a path within it. */
export interface SourcePath {
  readonly source: number;
  readonly path: Path;
}

/** Something that is wrong between documents. */
export interface Finding extends SourcePath {
  readonly text: string;
  readonly remedy: string;
  /** The other place, where two clash. */
  readonly earlier?: SourcePath;
}

/** Names of each kind, and whom each budget belongs to. */
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

  /** Owner of a budget; undefined if the budget is unknown or broken. */
  ownerOf(budget: string): string | undefined {
    return this.#owners.get(budget);
  }

  /** What is wrong with a reference; undefined if it leads to a document. */
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

/** What a check between documents goes by. */
export interface CrossCheckInput {
  readonly entries: readonly Entry[];
  /** Documents that failed their schema. */
  readonly broken: readonly BrokenEntry[];
  /** Whether every file could be read: otherwise a missing name proves nothing. */
  readonly isComplete: boolean;
}

/**
 * Checks documents against one another.
 * @param input - documents of all files of a run, or of a whole revision
 * @returns everything that is wrong
 */
export function crossCheck({ entries, broken, isComplete }: CrossCheckInput): readonly Finding[] {
  const index = new NameIndex(entries, broken);
  const sizeFindings = entries.flatMap((entry) => checkSize(entry));
  const duplicates = [...duplicateNames(entries), ...duplicateKeys(entries)];
  if (!isComplete) return [...sizeFindings, ...duplicates];
  return [...sizeFindings, ...duplicates, ...entries.flatMap((entry) => checkEntry(entry, index))];
}
