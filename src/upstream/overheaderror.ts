/** Error of a connection whose other side sends bytes that carry no answer. */

/** The framing of an answer grew far beyond its content. */
export class OverheadError extends Error {
  readonly code = 'OVERHEAD';

  /**
   * Creates the error.
   * @param address - "host:port" of the other side
   * @param bytes - number of bytes that carried no part of the answer
   */
  constructor(address: string, bytes: number) {
    super(
      `${address} sent ${bytes} bytes of framing, interim answers or reasons beside its answer; check the upstream`,
    );
  }
}
