/** Interface of the client of plain services. */

import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import type { Result } from "../core/result.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { BackendError } from "./backend_error.ts";
import type { ResponseBody } from "./response_body.ts";

/** A request to a plain service. */
export interface ServiceCall {
  readonly server: BackendServer;
  readonly requestId: RequestId;
  readonly method: string;
  /** Path relative to the service, including the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly deadline: Deadline;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** To be released once the caller has been sent all of it. */
  readonly body: ResponseBody;
  /** Backoff that the server requests from this entry, in milliseconds; 0 if none. */
  readonly restMs: number;
}

/** Client of plain services. */
export interface PlainServices {
  call(call: ServiceCall): Promise<Result<ServiceResponse, BackendError>>;
}
