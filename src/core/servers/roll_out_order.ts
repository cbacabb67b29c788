/** An order of an operator to roll out a new release of a service. */

import type { ReleaseId, ServiceId } from "../ids.ts";

/** Progress of a roll-out. */
export type RollOutState = "in_progress" | "completed" | "rolled_back";

/** A roll-out order with its recorded state. */
export interface RollOutOrder {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Time limit for completion, counted from the order, in milliseconds. */
  readonly limitMs: number;
  /** Undefined until an entry VM has recorded it. */
  readonly state: RollOutState | undefined;
  /** Release to which `state` refers; an older release if the order is new. */
  readonly stateRelease: ReleaseId | undefined;
}
