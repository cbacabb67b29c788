/** What is known of a request once its caller has been let in. */

import type { Account } from "../core/config/configuration.ts";
import type { RequestId, Sha256 } from "../core/ids.ts";
import type { Deadline } from "../runtime/deadline.ts";

/** Passed down with a request. */
export interface RequestContext {
  readonly requestId: RequestId;
  /** Hash of the caller's key, to look the account up again before each try. */
  readonly keyHash: Sha256;
  readonly account: Account;
  /** Session id, or the request id where the caller named no session. */
  readonly stickyKey: string;
  readonly deadline: Deadline;
}
