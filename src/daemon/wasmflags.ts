/** Flags of V8 for WebAssembly, which is the parser of the HTTP client only. */
import { setFlagsFromString } from 'node:v8';

/**
 * Keeps V8 from compiling WebAssembly once more with its optimizing compiler. For the parser of upstreams' answers that
 * takes some 40 MB and a quarter of a second of processor time after each start, and spares next to nothing. Must be called
 * before the first connection to an upstream.
 */
export function useBaselineWasm(): void {
  setFlagsFromString('--no-wasm-dynamic-tiering');
  setFlagsFromString('--no-wasm-tier-up');
}
