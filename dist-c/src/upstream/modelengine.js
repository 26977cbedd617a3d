/** Speaks to model engines. */
export class ModelEngine {
}
//# sourceMappingURL=modelengine.js.map