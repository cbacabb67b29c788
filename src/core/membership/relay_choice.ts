/** Which entry VMs of a data centre ask the platform on behalf of all. */

import type { EntryId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Relays of one data centre, at least, so that one can be lost unnoticed. */
const FEWEST_RELAYS = 2;

/**
 * Returns the relays among the entry VMs of the same data centre as `self`. All that
 * see the same entry VMs agree; those that do not may relay twice, which is harmless.
 */
export function relaysOf(
  self: Member,
  { members, unitHash }: { members: readonly Member[]; unitHash: UnitHash },
): Member[] {
  const here = [self, ...members].filter((member) =>
    member.data_centre === self.data_centre && member.state === "alive"
  );
  return here
    .map((member) => ({ member, weight: unitHash(`relay/${member.id}`) }))
    .sort((a, b) => a.weight - b.weight)
    .slice(0, relayCount(here.length))
    .map(({ member }) => member);
}

/** Grows by the square root, which balances calls of the platform and of relays. */
function relayCount(entries: number): number {
  return Math.max(FEWEST_RELAYS, Math.ceil(Math.sqrt(entries)));
}

/** Tells whether an entry VM is among the relays. */
export function isAmong(relays: readonly Member[], id: EntryId): boolean {
  return relays.some((relay) => relay.id === id);
}
