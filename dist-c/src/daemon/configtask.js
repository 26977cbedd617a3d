/** Keeps the configuration in force: watches the manifest and loads its pieces. */
import { setTimeout as delay } from 'node:timers/promises';
import { Configuration, documentsSchema, joinDocuments, MANIFEST_KEY, parseManifest, pieceKey, } from '../config/index.js';
/** Longest wait of one watch, in milliseconds. */
const WATCH_MS = 10_000;
/** Delay after a failed call, in milliseconds. */
const RETRY_MS = 200;
/** Owns the configuration of one daemon; its revision only rises. */
export class ConfigTask {
    store;
    recorder;
    #current;
    #pieces = new Map();
    #stopped = false;
    #confirmedAt = 0;
    /**
     * Creates the task.
     * @param store - the object API
     * @param recorder - records events
     */
    constructor(store, recorder) {
        this.store = store;
        this.recorder = recorder;
    }
    /** Configuration in force; undefined before the first revision. */
    get current() {
        return this.#current;
    }
    /** When the store last confirmed the configuration, in milliseconds since the epoch. */
    get confirmedAt() {
        return this.#confirmedAt;
    }
    /** Follows the manifest until "stop". */
    async run() {
        let position = 0;
        while (!this.#stopped) {
            // The loop follows one watch after the other.
            /* eslint-disable no-await-in-loop */
            const loaded = await this.refresh();
            if (!loaded)
                await delay(RETRY_MS);
            else {
                const batch = await this.store.watch(MANIFEST_KEY, position, WATCH_MS);
                if (batch.ok) {
                    position = batch.val.position;
                    this.#confirmedAt = Date.now();
                }
                else {
                    this.recorder.record('storeUnavailable', { detail: batch.val.text });
                    await delay(RETRY_MS);
                }
            }
            /* eslint-enable no-await-in-loop */
        }
    }
    /** Ends the task after the running watch. */
    stop() {
        this.#stopped = true;
    }
    /**
     * Reads the manifest and applies it if it is newer.
     * @returns whether the store answered
     */
    async refresh() {
        const found = await this.store.read(MANIFEST_KEY);
        if (found.err)
            return false;
        const manifest = parseManifest(found.val.value);
        this.#confirmedAt = Date.now();
        if (manifest.revision <= (this.#current?.revision ?? 0))
            return true;
        return this.#apply(manifest);
    }
    async #apply(manifest) {
        const parts = await Promise.all(manifest.pieces.map((digest) => this.#piece(digest)));
        const found = parts.filter((part) => part !== undefined);
        if (found.length < parts.length)
            return false;
        if (manifest.revision <= (this.#current?.revision ?? 0))
            return true;
        this.#current = new Configuration(manifest, joinDocuments(found));
        this.recorder.record('configApplied', { detail: `revision ${manifest.revision}` });
        return true;
    }
    async #piece(digest) {
        const known = this.#pieces.get(digest);
        if (known)
            return known;
        const found = await this.store.read(pieceKey(digest));
        const parsed = found.ok ? documentsSchema.safeParse(found.val.value) : undefined;
        if (!parsed?.success)
            return undefined;
        this.#pieces.set(digest, parsed.data);
        return parsed.data;
    }
}
//# sourceMappingURL=configtask.js.map