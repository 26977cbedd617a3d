/** Chooses the backup of this daemon and keeps the copies of other daemons. */
import { instanceOf, rendezvous } from '../kernel/index.js';
/** Longest wait for a backup's acknowledgement, in milliseconds. */
const COPY_TIMEOUT_MS = 400;
/**
 * Orders the candidates for a backup: other data centres come first.
 * @param self - incarnation that needs a backup
 * @param dataCentre - its data centre
 * @param peers - the other instances
 * @returns the candidates, the best first
 */
export function backupCandidates(self, dataCentre, peers) {
    const live = peers.filter(({ state }) => state === 'live');
    const away = live.filter((peer) => peer.dataCentre !== dataCentre).map(({ name }) => name);
    const near = live.filter((peer) => peer.dataCentre === dataCentre).map(({ name }) => name);
    const own = instanceOf(self);
    return [...rendezvous(own, away), ...rendezvous(own, near)];
}
/** Owns the copies that this daemon keeps for others. */
export class Backups {
    self;
    dataCentre;
    network;
    #copies = new Map();
    /**
     * Creates the keeper and answers copy requests.
     * @param self - own incarnation
     * @param dataCentre - own data centre
     * @param network - links to the other daemons
     */
    constructor(self, dataCentre, network) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.network = network;
        network.handle('copy-lines', (batch) => {
            this.#keep(batch);
            return { type: 'lines-copied', accepted: true };
        });
    }
    /** Instance that should keep the copies of this daemon; undefined without peers. */
    get choice() {
        return backupCandidates(this.self, this.dataCentre, this.network.peers())[0];
    }
    /**
     * Copies lines to the backup.
     * @param shard - shard of the lines
     * @param lines - the lines
     * @param settled - highest sequence that the store holds
     * @returns whether the backup holds them
     */
    async copy(shard, lines, settled) {
        const order = backupCandidates(this.self, this.dataCentre, this.network.peers());
        const batch = { holder: this.self, shard, lines, settled };
        for (let index = 0; index < order.length; index += 1) {
            // The next peer is asked only if the one before cannot keep the lines.
            // eslint-disable-next-line no-await-in-loop
            if (await this.#copyTo(order[index] ?? '', batch))
                return true;
        }
        return false;
    }
    async #copyTo(to, batch) {
        const answer = await this.network.request({
            to,
            body: { type: 'copy-lines', ...batch },
            reply: 'lines-copied',
            timeoutMs: COPY_TIMEOUT_MS,
        });
        return answer.ok && answer.val.accepted;
    }
    #keep({ holder, shard, lines, settled }) {
        const slot = `${holder}/${shard}`;
        const kept = this.#copies.get(slot) ?? [];
        this.#copies.set(slot, [...kept.filter(({ sequence }) => sequence > settled), ...lines]);
    }
}
//# sourceMappingURL=backups.js.map