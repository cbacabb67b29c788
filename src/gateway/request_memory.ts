/** Memory for the bodies of callers' requests. */

import { BodyMemory } from "../core/limits/body_memory.ts";
import { memoryShare } from "../core/limits/vm_shares.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";

/** Memory that the bodies of all callers' requests share. */
export class RequestMemory extends BodyMemory {
  constructor({ vmSettings }: { vmSettings: Pick<VmSettings, "memoryMb"> }) {
    super({
      limitBytes: memoryShare(vmSettings, "request_bodies"),
      smallBytes: memoryShare(vmSettings, "small_request_bodies"),
    });
  }
}
