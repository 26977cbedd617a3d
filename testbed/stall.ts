/** Stalls the process under test. */

/**
 * Blocks this thread, as a processor quota or a garbage collection does; sockets go on receiving.
 * @param durationMs - time, in milliseconds
 */
export function block(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

/**
 * Blocks this thread between a poll of the sockets and due timers, which the event loop runs next.
 * @param durationMs - time, in milliseconds
 */
export async function stall(durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      block(durationMs);
      resolve();
    });
  });
}
