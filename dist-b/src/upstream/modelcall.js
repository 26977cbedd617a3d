/** A model request and the stream that answers it, as plain data. */
export {};
//# sourceMappingURL=modelcall.js.map