/** Settings of V8's WebAssembly compiler. */

import { setFlagsFromString } from "node:v8";

const BASELINE_ONLY = ["--no-wasm-tier-up", "--no-wasm-dynamic-tiering"];

/** Keeps WebAssembly as V8 compiles it first; must be called before any is loaded. */
export function disableWasmOptimization(): void {
  // V8 takes 40 MB to optimize undici's response parser, in the background at any time after the start.
  for (const flag of BASELINE_ONLY) setFlagsFromString(flag);
}
