/** Delivers charge lines of any holder to the store. */
import { parseShard, segmentKey, segmentSchema, settle, shardKey } from '../budget/index.js';
import { updateObject } from '../platform/index.js';
async function writeSegments(store, shard, lines) {
    let rest = lines;
    for (let [first] = rest; first; [first] = rest) {
        const key = segmentKey(shard, first);
        // A segment that another copy wrote may end before this one does.
        /* eslint-disable no-await-in-loop */
        const written = await store.write(key, { lines: rest }, 0);
        if (written.ok)
            return true;
        if (written.val.problem !== 'conflict')
            return false;
        const found = await store.read(key);
        /* eslint-enable no-await-in-loop */
        if (found.err)
            return false;
        const last = segmentSchema.parse(found.val.value).lines.at(-1)?.sequence ?? 0;
        rest = rest.filter(({ sequence }) => sequence > last);
    }
    return true;
}
/**
 * Writes lines as segments and moves the mark of their holder; a repeat changes nothing.
 * @param store - the object API
 * @param delivery - the lines
 * @returns whether the store then holds and counts all of them
 */
export async function deliverLines(store, delivery) {
    const { holder, shard, lines } = delivery;
    const last = lines.at(-1);
    if (!last)
        return true;
    if (!(await writeSegments(store, shard, lines)))
        return false;
    const kind = { key: shardKey(shard), parse: parseShard };
    const mark = await updateObject(store, kind, (value) => settle(value, holder, lines));
    return mark.ok && mark.val >= last.sequence;
}
//# sourceMappingURL=delivery.js.map