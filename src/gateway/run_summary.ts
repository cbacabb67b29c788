/** Summary of a request for the log. */

import type { AccountId, EntryId, RouteId, ServiceId } from "../core/ids.ts";
import type { RetryBudgetState } from "../core/limits/retry_budget.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { AttemptRecord } from "./attempt_record.ts";

/** Inputs to the routing decisions for one request, and its attempts. */
export interface RunSummary {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Identity shared by all attempts of the caller at the same request. */
  readonly identity: RequestIdentity;
  /** Undefined if the route requires no key. */
  readonly account: AccountId | undefined;
  /** Version of the configuration under which the request was admitted. */
  readonly configurationVersion: number;
  /** Time since that configuration was last confirmed as the newest. */
  readonly confirmedAgeMs: number;
  /** Time limit of the request. */
  readonly limitMs: number;
  /** State of the retry budget of the service. */
  readonly retryBudget: RetryBudgetState;
  readonly tries: readonly AttemptRecord[];
  /** VM that was asked to run the request, if this VM reached no server. */
  readonly forwardedTo: EntryId | undefined;
  /** VM that forwarded the request to this one. */
  readonly forwardedFrom: EntryId | undefined;
}
