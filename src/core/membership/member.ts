/** Membership record of an entry VM, as exchanged between entry VMs. */

import type { DataCentreId, EntryId, Revision, ServiceId } from "../ids.ts";

/**
 * `suspect` entry VMs missed a probe and may still refute the suspicion. `leaving` entry VMs
 * are draining: they still serve requests, but are no longer advertised to callers.
 */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** Which backend servers an entry VM reports that it cannot reach. */
export interface MemberReachability {
  /** Increases with each change; a record with a later one is newer. */
  readonly sequence: number;
  /** Services of which the VM cannot reach any server. */
  readonly lostServices: readonly ServiceId[];
}

/** State of an entry VM. */
export interface Member {
  readonly id: EntryId;
  readonly data_centre: DataCentreId;
  /** Address for callers, `IP:port`. */
  readonly callers: string;
  /** Address for other entry VMs, `IP:port`. */
  readonly peers: string;
  /** Increases with each start of the process and each refuted suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Configuration revision that the entry VM last reported as in force. */
  readonly revision: Revision;
  /** Processor cores available to the VM; undefined if it does not report them. */
  readonly cores?: number | undefined;
  /** Undefined while the VM has never lost a service. */
  readonly reachability?: MemberReachability | undefined;
}

const STATE_PRECEDENCE: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Returns whether `update` replaces the `current` record of the same entry VM. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[current.state];
}

/** Whether an entry VM reports that it cannot reach any server of a service. */
export function hasLostService(
  { reachability }: Member,
  service: ServiceId,
): boolean {
  return reachability?.lostServices.includes(service) ?? false;
}

/**
 * Whether an entry VM is partitioned from the backend servers: it has lost a service that at least
 * one other has not lost. A service that all have lost is down.
 */
export function isPartitioned(
  { reachability }: Member,
  members: readonly Member[],
): boolean {
  return (reachability?.lostServices ?? []).some((service) =>
    members.some((member) => !hasLostService(member, service))
  );
}

/** Returns the newer of two reports of the same incarnation. */
export function latestReachability(
  a: MemberReachability | undefined,
  b: MemberReachability | undefined,
): MemberReachability | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return b.sequence > a.sequence ? b : a;
}
