/** Selects the entry VMs of a data centre that query the platform on behalf of the others. */

import type { EntryId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Minimum number of relays in a data centre, so that the loss of one has no effect. */
const MIN_RELAYS = 2;

/**
 * Returns the relays of the data centre of `self`. Entry VMs with the same view of the
 * members select the same relays; differing views may add relays, which is harmless.
 */
export function selectRelays(
  self: Member,
  { members, unitHash }: { members: readonly Member[]; unitHash: UnitHash },
): Member[] {
  const local = [self, ...members].filter((member) =>
    member.data_centre === self.data_centre && member.state === "alive"
  );
  return local
    .map((member) => ({ member, rank: unitHash(`relay/${member.id}`) }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, relayCount(local.length))
    .map(({ member }) => member);
}

/** Grows with the square root, which balances calls to the platform and to relays. */
function relayCount(entries: number): number {
  return Math.max(MIN_RELAYS, Math.ceil(Math.sqrt(entries)));
}

/** Returns whether `relays` includes the entry VM. */
export function includesMember(
  relays: readonly Member[],
  id: EntryId,
): boolean {
  return relays.some((relay) => relay.id === id);
}
