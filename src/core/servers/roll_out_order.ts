/** A roll-out of a new release of a service, as operators order it. */

import type { ReleaseId, ServiceId } from "../ids.ts";

/** How far a roll-out has come. */
export type RollOutState = "in_progress" | "completed" | "rolled_back";

/** One order. */
export interface RollOutOrder {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Time from the order within which it should be completed, in milliseconds. */
  readonly limitMs: number;
  /** Undefined until an entry VM has written it. */
  readonly state: RollOutState | undefined;
  /** Release that the state is about; an older one where the order is new. */
  readonly stateRelease: ReleaseId | undefined;
}
