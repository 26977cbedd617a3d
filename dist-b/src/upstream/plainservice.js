/** Speaks to plain services. */
export class PlainService {
}
//# sourceMappingURL=plainservice.js.map