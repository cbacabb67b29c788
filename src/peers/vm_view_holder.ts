/** Holds the condensed VM list of this entry VM, for its own use and for other entry VMs. */

import type { VmView } from "../protocol/peer_schema.ts";

/** Holds the latest VM view. */
export class VmViewHolder {
  #current: VmView | undefined;

  /** Latest view; undefined until the first one is set. */
  get current(): VmView | undefined {
    return this.#current;
  }

  set(view: VmView): void {
    this.#current = view;
  }
}
