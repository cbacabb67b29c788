/** Which entry VMs of a data centre ask the platform on behalf of all. */

import type { EntryId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Relays of one data centre; two, so that one can be lost unnoticed. */
export const RELAYS_PER_DATA_CENTRE = 2;

/**
 * Returns the relays among the entry VMs of the same data centre as `self`. All that
 * see the same entry VMs agree; those that do not may relay twice, which is harmless.
 */
export function relaysOf(
  self: Member,
  { members, unitHash }: { members: readonly Member[]; unitHash: UnitHash },
): Member[] {
  return [self, ...members]
    .filter((member) => member.data_centre === self.data_centre)
    .filter((member) => member.state === "alive")
    .map((member) => ({ member, weight: unitHash(`relay/${member.id}`) }))
    .sort((a, b) => a.weight - b.weight)
    .slice(0, RELAYS_PER_DATA_CENTRE)
    .map(({ member }) => member);
}

/** Tells whether an entry VM is among the relays. */
export function isAmong(relays: readonly Member[], id: EntryId): boolean {
  return relays.some((relay) => relay.id === id);
}
