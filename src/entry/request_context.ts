/** Context of an admitted request. */

import type { Account } from "../core/config/configuration.ts";
import type { RequestId, Sha256 } from "../core/ids.ts";
import type { Deadline } from "../runtime/deadline.ts";

/** Data that accompanies a request from its admission to its end. */
export interface RequestContext {
  readonly requestId: RequestId;
  /** Hash of the caller's key, used to look up the account again before each attempt. */
  readonly keyHash: Sha256;
  readonly account: Account;
  /** Session id, or the request id if the request has no session. */
  readonly stickyKey: string;
  readonly deadline: Deadline;
}
