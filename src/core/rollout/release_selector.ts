/** Selects between the stable release and the canary of a service. */

import type { PromptPartId, ReleaseId, ServiceId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { EligibleServers } from "./release_gate.ts";
import type { SessionTracker } from "./session_tracker.ts";
import { ADVERTISED_SESSION_SHARE, sessionHash } from "./session_hash.ts";

/** Request and roll-out state that the selection depends on. */
export interface ReleaseSelectionInput {
  readonly service: ServiceId;
  readonly eligible: EligibleServers;
  /** Share of sessions on the canary, 0 to 1. */
  readonly share: number;
  /** Undefined for requests without a session. */
  readonly session: PromptPartId | undefined;
  /** Hashed in place of the session if there is none. */
  readonly requestKey: string;
  readonly nowMs: number;
}

/** Assigns sessions to releases by hash, consistently across VMs. */
export class ReleaseSelector {
  readonly #sessionTracker: SessionTracker;
  readonly #unitHash: UnitHash;

  constructor(
    { sessionTracker, unitHash }: {
      sessionTracker: SessionTracker;
      unitHash: UnitHash;
    },
  ) {
    this.#sessionTracker = sessionTracker;
    this.#unitHash = unitHash;
  }

  /** Returns the candidate servers of a request, as one or two sets in order of preference. */
  selectServers(input: ReleaseSelectionInput): (readonly ServerRecord[])[] {
    const { eligible, share } = input;
    if (eligible.canary.length === 0 || share <= 0) return [eligible.stable];
    const canary = this.#canaryServers(input);
    if (this.#isOnCanary(input)) return [canary, eligible.stable];
    return [eligible.stable];
  }

  #isOnCanary(
    { eligible, share, session, requestKey, nowMs }: ReleaseSelectionInput,
  ) {
    const canaryRelease = eligible.canary[0]?.release;
    const hash = session === undefined
      ? this.#unitHash(`request/${requestKey}`)
      : sessionHash(session, this.#unitHash);
    const last: ReleaseId | undefined = session === undefined
      ? undefined
      : this.#sessionTracker.releaseOf(session, nowMs);
    if (last !== undefined && last === canaryRelease) return true;
    // While the canary share is small, active sessions stay on their release.
    if (last !== undefined && share <= ADVERTISED_SESSION_SHARE) return false;
    return hash < share;
  }

  /** Limits the canary servers so that each has as much work as a server of the stable release. */
  #canaryServers({ eligible, share, service }: ReleaseSelectionInput) {
    const count = Math.max(1, Math.ceil(share * eligible.canary.length));
    return eligible.canary
      .map((server) => ({
        server,
        rank: this.#unitHash(`trial/${service}/${server.instance}`),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ server }) => server);
  }
}
