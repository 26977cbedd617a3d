/** Kinds of documents, in the order in which they are listed. */
export const DOCUMENT_KINDS = ['workspaces', 'budgets', 'routes', 'upstreams', 'plans'];
function byName(documents, kind) {
    return new Map(documents[kind].map((document) => [document.name, document]));
}
function changedFields(before, after) {
    const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return fields.filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]));
}
function compareKind(kind, before, after) {
    const names = [...new Set([...before.keys(), ...after.keys()])].sort();
    return names.flatMap((name) => {
        const old = before.get(name);
        const next = after.get(name);
        if (!old)
            return [{ change: 'added', kind, name, fields: [] }];
        if (!next)
            return [{ change: 'removed', kind, name, fields: [] }];
        const fields = changedFields(old, next);
        return fields.length > 0 ? [{ change: 'changed', kind, name, fields }] : [];
    });
}
/**
 * Compares what is in force with what shall be.
 * @param before - documents in force
 * @param after - documents to publish
 * @returns every document that differs, by kind and name
 */
export function compareDocuments(before, after) {
    return DOCUMENT_KINDS.flatMap((kind) => compareKind(kind, byName(before, kind), byName(after, kind)));
}
//# sourceMappingURL=difference.js.map