/** How far a release on trial has come, as all VMs agree by the store. */

import type { ReleaseId, ServiceId } from "../ids.ts";

/** One trial. */
export interface Trial {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Share of sessions on trial, 0 to 1; it never shrinks. */
  readonly share: number;
}

/** Names a release of a service. */
export interface ReleaseKey {
  readonly service: ServiceId;
  readonly release: ReleaseId;
}
