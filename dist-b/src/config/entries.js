/** Documents one by one, with the file and position that they come from. */
import { DOCUMENT_KINDS } from './difference.js';
/** What people call one document of each kind. */
export const KIND_NAMES = {
    workspaces: 'workspace',
    budgets: 'budget',
    routes: 'route',
    upstreams: 'upstream',
    plans: 'plan',
};
/**
 * Lists the documents of a file.
 * @param documents - what the file declares
 * @param source - position of the file among the files of the run
 * @returns the documents one by one
 */
export function entriesOf(documents, source) {
    return DOCUMENT_KINDS.flatMap((kind) => documents[kind].map((document, index) => ({ kind, document, source, index })));
}
/**
 * Puts documents together again.
 * @param entries - documents one by one
 * @returns the documents by kind, in the given order
 */
export function documentsOf(entries) {
    const pick = (kind) => entries
        .filter((entry) => entry.kind === kind)
        .map(({ document }) => document);
    return {
        workspaces: pick('workspaces'),
        budgets: pick('budgets'),
        routes: pick('routes'),
        upstreams: pick('upstreams'),
        plans: pick('plans'),
    };
}
//# sourceMappingURL=entries.js.map