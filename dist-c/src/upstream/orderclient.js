/** Gives orders to upstreams and reads back what came of them. */
export class OrderClient {
}
//# sourceMappingURL=orderclient.js.map