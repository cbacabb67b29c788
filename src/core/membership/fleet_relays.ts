/** Selects the VMs that read the platform's store, and the relays that aggregate a data centre's state. */

import type { EntryId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { Member } from "./member.ts";

/** Up to this fleet size, every VM is a relay and each pair of VMs communicates every 1 to 2 s. */
const MAX_FULL_MESH_VMS = 12;
/** VMs per relay of a data centre; the relay answers each of them every 0.8 s. */
const VMS_PER_RELAY = 12;
/** Minimum number of relays in a data centre, so that the loss of one has no effect. */
const MIN_RELAYS = 2;
/**
 * VMs per reader of the store. A reader watches all kinds, so each change costs a call per
 * reader. Too many readers cost calls; too few cost little: once all readers are lost, the
 * remaining relays read the store themselves for a while.
 */
const VMS_PER_READER = 60;
/** Minimum number of readers in a large fleet, so that the loss of one delays no change. */
const MIN_READERS = 2;
/** Assumed cores of a VM that does not report them. */
const DEFAULT_CORES = 1;

/**
 * Returns the relays of a data centre: the VMs with the most cores, ties broken by a hash.
 * VMs with the same view of the members select the same relays. Differing views lead to more
 * relays than needed for a while, which is harmless.
 */
export function selectFleetRelays(
  members: readonly Member[],
  { dataCentre, unitHash }: { dataCentre: string; unitHash: UnitHash },
): Member[] {
  const alive = members.filter(({ state }) => state === "alive");
  const local = alive.filter(({ data_centre }) => data_centre === dataCentre);
  if (isFullMesh(members)) return local;
  const count = Math.ceil(local.length / VMS_PER_RELAY);
  return local
    .map((member) => ({ member, rank: unitHash(`relay/${member.id}`) }))
    .sort((a, b) => coresOf(b.member) - coresOf(a.member) || a.rank - b.rank)
    .slice(0, Math.max(MIN_RELAYS, count))
    .map(({ member }) => member);
}

/** Candidate readers of the store by rank; computed once per view of the members. */
export interface ReaderRanking {
  /** Number of readers; undefined in a small fleet, where all VMs read. */
  readonly count: number | undefined;
  /** Relays of all data centres, interleaved by data centre; all VMs in a small fleet. */
  readonly relays: readonly Member[];
  /** VMs that read if no relay can reach the store. */
  readonly standbys: () => readonly Member[];
}

/** Ranks VMs as readers of the store; VMs with the same view of the members agree. */
export function rankReaders(
  members: readonly Member[],
  { unitHash }: { unitHash: UnitHash },
): ReaderRanking {
  const alive = members.filter(({ state }) => state === "alive");
  if (isFullMesh(members)) {
    return { count: undefined, relays: alive, standbys: () => [] };
  }
  const relays = rankedRelays(members, unitHash);
  const count = Math.max(
    MIN_READERS,
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
 * Returns the VMs that read the store on behalf of all others: all VMs of a small fleet, or a
 * few relays of a large one, spread over as many data centres as possible. VMs that cannot
 * reach the store are skipped while others can. If no relay can reach it, standbys read.
 */
export function selectStoreReaders(
  { count, relays, standbys }: ReaderRanking,
  cannotReachStore: (vm: EntryId) => boolean,
): Member[] {
  if (count === undefined) return [...relays];
  const withStore = (vms: readonly Member[]) =>
    vms.filter(({ id }) => !cannotReachStore(id)).slice(0, count);
  const readers = withStore(relays);
  if (readers.length > 0) return readers;
  const substitutes = withStore(standbys());
  // If no VM can reach the store, the highest-ranked relays keep trying and detect its recovery.
  return substitutes.length > 0 ? substitutes : relays.slice(0, count);
}

/** Returns the relays of all data centres, interleaved by data centre. */
function rankedRelays(
  members: readonly Member[],
  unitHash: UnitHash,
): Member[] {
  const rank = (dataCentre: string) => unitHash(`readers/${dataCentre}`);
  const dataCentres = new Set(members.map(({ data_centre }) => data_centre));
  const relays = [...dataCentres]
    .sort((a, b) => rank(a) - rank(b))
    .map((dataCentre) => selectFleetRelays(members, { dataCentre, unitHash }));
  const maxRelays = Math.max(...relays.map(({ length }) => length));
  return Array.from({ length: maxRelays }, (_, at) => at)
    .flatMap((at) => relays.flatMap((local) => local[at] ?? []));
}

/** Whether the fleet is small enough for all VMs to communicate directly, without relays. */
export function isFullMesh(members: readonly Member[]): boolean {
  const alive = members.filter(({ state }) => state === "alive");
  return alive.length <= MAX_FULL_MESH_VMS;
}

function coresOf({ cores = DEFAULT_CORES }: Member): number {
  return cores;
}
