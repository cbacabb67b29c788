/** Which VMs read the platform's store, and which add up what those of a data centre tell. */

import type { EntryId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Up to this many VMs each is a relay: all pairs then talk every second or two. */
const MESH_VMS = 12;
/** VMs for each relay of a data centre, each of which it answers every 0.8 s. */
const VMS_PER_RELAY = 12;
/** Relays of one data centre, at least, so that one can be lost unnoticed. */
const FEWEST_RELAYS = 2;
/**
 * VMs for each reader of the store. Each reader pays for every change, as it watches all
 * kinds; a reader too many costs calls, one too few only a rest of the relays that read
 * themselves for a while once all readers are lost.
 */
const VMS_PER_READER = 60;
/** Readers of a large fleet, at least, so that one can be lost without a change being late. */
const FEWEST_READERS = 2;
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

/** Which VMs read the store, in what order; worked out once for the same members. */
export interface ReaderRanks {
  /** How many read; undefined where all do, as in a small fleet. */
  readonly count: number | undefined;
  /** Relays of all data centres, by turns; in a small fleet all VMs. */
  readonly relays: readonly Member[];
  /** VMs that read where the store answers no relay. */
  readonly standbys: () => readonly Member[];
}

/** Ranks the VMs of a fleet as readers. VMs that see the same members agree. */
export function rankReaders(
  members: readonly Member[],
  { unitHash }: { unitHash: UnitHash },
): ReaderRanks {
  const alive = members.filter(({ state }) => state === "alive");
  if (isMesh(members)) {
    return { count: undefined, relays: alive, standbys: () => [] };
  }
  const relays = rankedRelays(members, unitHash);
  const count = Math.max(
    FEWEST_READERS,
    Math.ceil(alive.length / VMS_PER_READER),
  );
  const standbys = () =>
    alive.filter((vm) => !relays.includes(vm))
      .map((vm) => ({ vm, rank: unitHash(`reader/${vm.id}`) }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ vm }) => vm);
  return { count, relays, standbys };
}

/**
 * Returns the VMs that read the store for all others: all of a small fleet, a few relays of
 * a large one, in as many data centres as can be, but none that the store does not answer
 * while it answers others. Where it answers no relay, other VMs read.
 */
export function storeReaders(
  { count, relays, standbys }: ReaderRanks,
  hasLostStore: (vm: EntryId) => boolean,
): Member[] {
  if (count === undefined) return [...relays];
  const answered = (vms: readonly Member[]) =>
    vms.filter(({ id }) => !hasLostStore(id)).slice(0, count);
  const readers = answered(relays);
  if (readers.length > 0) return readers;
  const others = answered(standbys());
  // Where the store answers none, the first of all find out when it is back.
  return others.length > 0 ? others : relays.slice(0, count);
}

/** Relays of all data centres, by turns. */
function rankedRelays(
  members: readonly Member[],
  unitHash: UnitHash,
): Member[] {
  const rank = (dataCentre: string) => unitHash(`readers/${dataCentre}`);
  const dataCentres = new Set(members.map(({ data_centre }) => data_centre));
  const relays = [...dataCentres]
    .sort((a, b) => rank(a) - rank(b))
    .map((dataCentre) => fleetRelays(members, { dataCentre, unitHash }));
  const mostHere = Math.max(...relays.map(({ length }) => length));
  return Array.from({ length: mostHere }, (_, at) => at)
    .flatMap((at) => relays.flatMap((here) => here[at] ?? []));
}

/** Whether all VMs talk to each other, without relays between them. */
export function isMesh(members: readonly Member[]): boolean {
  const alive = members.filter(({ state }) => state === "alive");
  return alive.length <= MESH_VMS;
}

function coresOf({ cores = UNKNOWN_CORES }: Member): number {
  return cores;
}
