/** Client interface for other entry VMs. */

import type { Revision, Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { Result } from "../core/result.ts";
import type { HeadResponse, VmViewResponse } from "../protocol/peer_schema.ts";
import type { ProbeAnswer } from "./peer_router.ts";

/** Reason why a call to another entry VM failed. */
export interface PeerError {
  readonly tag: "unreachable" | "refused";
  readonly reason: string;
}

/** Calls other entry VMs by their peer addresses. */
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
  /** Returns the head, or its changes since the `known` revision. */
  head(
    address: string,
    known: Revision,
  ): Promise<Result<HeadResponse, PeerError>>;
  /** Returns the condensed VM list, or no list if `known` is its current version. */
  vmView(
    address: string,
    known: string,
  ): Promise<Result<VmViewResponse, PeerError>>;
  object(address: string, sha256: Sha256): Promise<Result<string, PeerError>>;
}
