/** Rules between documents: names are unique and references lead somewhere. */
import { suggest } from '../kernel/index.js';
import { KIND_NAMES } from './entries.js';
/** Largest document, in bytes of JSON, so that a piece stays under a megabyte. */
export const MAX_DOCUMENT_BYTES = 900_000;
/** Names of each kind, and whom each budget belongs to. */
class Index {
    #names = new Map();
    #owners = new Map();
    constructor(entries, broken) {
        entries.forEach((entry) => {
            this.#add(entry.kind, entry.document.name);
            if (entry.kind === 'budgets') {
                this.#owners.set(entry.document.name, entry.document.workspace);
            }
        });
        broken.forEach(({ kind, name }) => this.#add(kind, name));
    }
    /** Owner of a budget; undefined if the budget is unknown or broken. */
    ownerOf(budget) {
        return this.#owners.get(budget);
    }
    /** What is wrong with a reference; undefined if it leads to a document. */
    missing(kind, name) {
        const names = this.#names.get(kind) ?? new Set();
        if (names.has(name))
            return undefined;
        const text = `there is no ${KIND_NAMES[kind]} "${name}"`;
        return { text, remedy: suggest(name, [...names], kind) };
    }
    #add(kind, name) {
        const names = this.#names.get(kind) ?? new Set();
        this.#names.set(kind, names.add(name));
    }
}
function spotOf({ source, kind, index }, ...path) {
    return { source, path: [kind, index, ...path] };
}
function describe(spot, text) {
    return `${spot.path.map(String).join('.')}: ${text}`;
}
function at(spot, text, remedy) {
    return { ...spot, text: describe(spot, text), remedy };
}
function duplicateNames(entries) {
    const first = new Map();
    return entries.flatMap((entry) => {
        const { name } = entry.document;
        const slot = `${entry.kind}/${name}`;
        const spot = spotOf(entry, 'name');
        const earlier = first.get(slot);
        if (!earlier)
            first.set(slot, spot);
        if (!earlier)
            return [];
        const text = `${KIND_NAMES[entry.kind]} "${name}" is declared twice`;
        return [{ ...at(spot, text, 'rename or remove one of the two'), earlier }];
    });
}
function duplicateKeys(entries) {
    const first = new Map();
    return entries.flatMap((entry) => {
        if (entry.kind !== 'workspaces')
            return [];
        return entry.document.keys.flatMap(({ sha256 }, index) => {
            const spot = spotOf(entry, 'keys', index, 'sha256');
            const earlier = first.get(sha256);
            if (!earlier)
                first.set(sha256, spot);
            if (!earlier)
                return [];
            const text = 'this key digest is declared twice';
            return [{ ...at(spot, text, 'make a key of its own for each use'), earlier }];
        });
    });
}
function checkWorkspace(entry, { name, keys }, index) {
    return keys.flatMap(({ budget }, position) => {
        const spot = spotOf(entry, 'keys', position, 'budget');
        const missing = index.missing('budgets', budget);
        if (missing)
            return [at(spot, missing.text, missing.remedy)];
        const owner = index.ownerOf(budget);
        if (owner === undefined || owner === name)
            return [];
        const text = `budget "${budget}" belongs to workspace "${owner}", not to "${name}"`;
        return [at(spot, text, 'name a budget of this workspace')];
    });
}
function checkRoute(entry, route) {
    const { defaultOutputTokens, maxOutputTokens } = route;
    if (defaultOutputTokens <= maxOutputTokens)
        return [];
    const text = `${defaultOutputTokens} is more than maxOutputTokens, ${maxOutputTokens}`;
    return [at(spotOf(entry, 'defaultOutputTokens'), text, 'lower it, or raise maxOutputTokens')];
}
function checkReference(entry, field, missing) {
    return missing ? [at(spotOf(entry, field), missing.text, missing.remedy)] : [];
}
function checkUpstream(entry, { route }, index) {
    return checkReference(entry, 'route', index.missing('routes', route));
}
function checkPlan(entry, plan, index) {
    if (plan.kind === 'upstream') {
        return checkReference(entry, 'upstream', index.missing('upstreams', plan.upstream));
    }
    return checkReference(entry, 'workspace', index.missing('workspaces', plan.workspace));
}
function checkEntry(entry, index) {
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
function checkSize(entry) {
    const bytes = Buffer.byteLength(JSON.stringify(entry.document));
    if (bytes <= MAX_DOCUMENT_BYTES)
        return [];
    const text = `${bytes} bytes, more than ${MAX_DOCUMENT_BYTES}`;
    return [at(spotOf(entry, 'name'), text, 'split it into several documents')];
}
/**
 * Checks documents against one another.
 * @param input - documents of all files of a run, or of a whole revision
 * @returns everything that is wrong
 */
export function crossCheck({ entries, broken, complete }) {
    const index = new Index(entries, broken);
    const own = entries.flatMap((entry) => checkSize(entry));
    const clashes = [...duplicateNames(entries), ...duplicateKeys(entries)];
    if (!complete)
        return [...own, ...clashes];
    return [...own, ...clashes, ...entries.flatMap((entry) => checkEntry(entry, index))];
}
//# sourceMappingURL=crosscheck.js.map