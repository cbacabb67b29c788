/** Progress of a canary, as agreed by all VMs through the store. */

import type { ReleaseId, ServiceId } from "../ids.ts";

/** A release under evaluation that receives a share of the sessions. */
export interface Canary {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Share of sessions on the canary, 0 to 1; never decreases. */
  readonly share: number;
}

/** Identifies a release of a service. */
export interface ReleaseKey {
  readonly service: ServiceId;
  readonly release: ReleaseId;
}
