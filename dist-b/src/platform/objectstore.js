/** Versioned objects with conditional updates and watches. */
export class ObjectStore {
}
//# sourceMappingURL=objectstore.js.map