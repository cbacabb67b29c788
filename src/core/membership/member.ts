/** Membership record of an entry VM, as exchanged between entry VMs. */

import type { DataCentreId, EntryId, Revision } from "../ids.ts";

/**
 * `suspect` entry VMs missed a probe and may still refute the suspicion. `leaving` entry VMs
 * are draining: they still serve requests, but are no longer advertised to callers.
 */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

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
