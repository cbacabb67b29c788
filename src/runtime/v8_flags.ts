/** Flags of V8 that limit the memory of a process. */

import { setFlagsFromString } from "node:v8";

const BASELINE_ONLY = ["--no-wasm-tier-up", "--no-wasm-dynamic-tiering"];

/** Keeps WebAssembly as V8 compiles it first; must be called before any is loaded. */
export function disableWasmOptimization(): void {
  // V8 takes 40 MB to optimize undici's response parser, in the background at any time after the start.
  for (const flag of BASELINE_ONLY) setFlagsFromString(flag);
}

/** Keeps the young generation of the heap at the size that it has now. */
export function disableYoungGenerationGrowth(): void {
  // By default it grows from a few MB to 48 MB, which --max-old-space-size does not include.
  setFlagsFromString("--semi-space-growth-factor=1");
}
