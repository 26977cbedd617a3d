/** Lists live and leaving instances. */
export class InstanceList {
}
//# sourceMappingURL=instancelist.js.map