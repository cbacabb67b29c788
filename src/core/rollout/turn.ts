/** In which order VMs act on a roll-out, without electing one. */

import type { EntryId } from "../ids.ts";

/** What a VM knows of those that could act. */
export interface TurnInput {
  readonly self: EntryId;
  /** VMs that are alive, this one included. */
  readonly alive: readonly EntryId[];
  /** Whether a VM tells that the store does not answer it. */
  readonly hasLostStore: (vm: EntryId) => boolean;
}

/**
 * Number of VMs that act before this one: those before it by name. VMs that the store does
 * not answer come last, as they could write nothing, and others would wait for them: a good
 * release was completed 0.9 s after its time where the first VM by name was cut off and each
 * of two steps waited for it.
 */
export function turnOf({ self, alive, hasLostStore }: TurnInput): number {
  const byName = [...alive].sort();
  const able = byName.filter((vm) => !hasLostStore(vm));
  const lost = byName.filter((vm) => hasLostStore(vm));
  const turn = [...able, ...lost].indexOf(self);
  return turn < 0 ? alive.length : turn;
}
