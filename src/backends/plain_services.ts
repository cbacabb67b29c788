/** Plain services, as the rest of the program sees them. */

import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import type { Result } from "../core/result.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { BackendError } from "./backend_error.ts";

/** A call of a plain service. */
export interface ServiceCall {
  readonly server: BackendServer;
  readonly requestId: RequestId;
  readonly method: string;
  /** Path below the service, with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly deadline: Deadline;
}

/** A whole answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** How long the server wants nothing from this entry, in milliseconds; 0 if it says nothing. */
  readonly restMs: number;
}

/** Client of all plain services. */
export interface PlainServices {
  call(call: ServiceCall): Promise<Result<ServiceResponse, BackendError>>;
}
