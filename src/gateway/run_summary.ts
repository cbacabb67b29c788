/** What decided a request, for the log. */

import type { AccountId, RouteId, ServiceId } from "../core/ids.ts";
import type { RetryBudgetState } from "../core/limits/retry_budget.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { TryRecord } from "./try_record.ts";

/** Inputs and tries of one request. */
export interface RunSummary {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** What all attempts at the request have in common. */
  readonly identity: RequestIdentity;
  /** Undefined where the route needs no key. */
  readonly account: AccountId | undefined;
  /** Version of the configuration by which the request was admitted. */
  readonly configurationVersion: number;
  /** Time since that configuration was confirmed as the newest, in milliseconds. */
  readonly confirmedAgeMs: number;
  /** Time within which the request had to end, in milliseconds. */
  readonly limitMs: number;
  /** What the retry budget of the service stood at. */
  readonly retryBudget: RetryBudgetState;
  readonly tries: readonly TryRecord[];
}
