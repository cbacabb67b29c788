/** Which VMs ask the platform's store and add up what the others of their data centre tell. */

import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Up to this many VMs each is a relay: all pairs then talk every second or two. */
const MESH_VMS = 12;
/**
 * VMs for each relay of a data centre, each of which it answers every 0.8 s. Chosen so that
 * the users' 82 and 85 VMs have 8 and 9 relays; not measured against other numbers.
 */
const VMS_PER_RELAY = 12;
/** Relays of one data centre, at least, so that one can be lost unnoticed. */
const FEWEST_RELAYS = 2;
/** Cores of a VM that does not tell. */
const UNKNOWN_CORES = 1;

/**
 * Returns the relays of a data centre: the largest VMs, and among equals those that a
 * hash names. VMs that see the same members agree; those that do not have more relays
 * than needed for a while, which is harmless.
 */
export function fleetRelays(
  members: readonly Member[],
  { dataCentre, unitHash }: { dataCentre: string; unitHash: UnitHash },
): Member[] {
  const alive = members.filter(({ state }) => state === "alive");
  const here = alive.filter(({ data_centre }) => data_centre === dataCentre);
  if (isMesh(members)) return here;
  const count = Math.ceil(here.length / VMS_PER_RELAY);
  return here
    .map((member) => ({ member, rank: unitHash(`relay/${member.id}`) }))
    .sort((a, b) => coresOf(b.member) - coresOf(a.member) || a.rank - b.rank)
    .slice(0, Math.max(FEWEST_RELAYS, count))
    .map(({ member }) => member);
}

/** Whether all VMs talk to each other, without relays between them. */
export function isMesh(members: readonly Member[]): boolean {
  const alive = members.filter(({ state }) => state === "alive");
  return alive.length <= MESH_VMS;
}

function coresOf({ cores = UNKNOWN_CORES }: Member): number {
  return cores;
}
