/** Keeps the memory that V8 takes for speed away from that of a VM. */

import { isSmallVm, type VmSize } from "../core/limits/vm_shares.ts";
import {
  disableWasmOptimization,
  disableYoungGenerationGrowth,
} from "../runtime/v8_flags.ts";

/** Limits the memory of this process; must be called before the first connection. */
export function limitProcessMemory(vm: Pick<VmSize, "memoryMb">): void {
  disableWasmOptimization();
  if (isSmallVm(vm)) disableYoungGenerationGrowth();
}
