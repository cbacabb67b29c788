/** The condensed list of VMs that this entry holds, for itself and for others. */

import type { VmView } from "../protocol/peer_schema.ts";

/** Holds the latest view. */
export class VmViewHolder {
  #current: VmView | undefined;

  /** Latest view; undefined before the first. */
  get current(): VmView | undefined {
    return this.#current;
  }

  /** Takes a view in. */
  set(view: VmView): void {
    this.#current = view;
  }
}
