/** Other entry VMs, as the rest of the program sees them. */

import type { Revision, Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { Result } from "../core/result.ts";
import type { HeadResponse, VmViewResponse } from "../protocol/peer_schema.ts";
import type { ProbeAnswer } from "./peer_router.ts";

/** Why a call of another entry VM failed. */
export interface PeerError {
  readonly tag: "unreachable" | "refused";
  readonly reason: string;
}

/** Client of other entry VMs, by their peer addresses. */
export interface Peers {
  probe(
    address: string,
    input: { news: readonly Member[]; joining: boolean },
  ): Promise<Result<ProbeAnswer, PeerError>>;
  /** Asks `address` to probe `target`. */
  probeFor(
    address: string,
    target: string,
  ): Promise<Result<boolean, PeerError>>;
  /** Head, or its changes since the `known` revision. */
  head(
    address: string,
    known: Revision,
  ): Promise<Result<HeadResponse, PeerError>>;
  /** Condensed list of VMs, unless it is still the `known` version. */
  vmView(
    address: string,
    known: string,
  ): Promise<Result<VmViewResponse, PeerError>>;
  object(address: string, sha256: Sha256): Promise<Result<string, PeerError>>;
}
