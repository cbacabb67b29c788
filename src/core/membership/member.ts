/** What entry VMs tell each other about one entry VM. */

import type { DataCentreId, EntryId, Revision } from "../ids.ts";

/**
 * `suspect` entries missed a probe and may refute it; `leaving` ones serve on but
 * are no longer named to callers.
 */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** One entry VM. */
export interface Member {
  readonly id: EntryId;
  readonly data_centre: DataCentreId;
  /** Address for callers, `IP:port`. */
  readonly callers: string;
  /** Address for other entry VMs, `IP:port`. */
  readonly peers: string;
  /** Grows with each start of the process and each refuted suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Revision that the entry had in force when it last told. */
  readonly revision: Revision;
  /** Processor cores that the VM may use; undefined where it does not tell. */
  readonly cores?: number | undefined;
}

const STATE_RANK: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Returns whether `news` replaces what is `known` of the same entry VM. */
export function isNewer(news: Member, known: Member): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  return STATE_RANK[news.state] > STATE_RANK[known.state];
}
