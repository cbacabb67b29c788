/** Errors with which fieldrack rejects or abandons a request, and their HTTP responses. */

/**
 * Whether a backend server may have executed the request; `"no"` only if no byte of the
 * request was sent to a server.
 */
export type ExecutionStatus = "no" | "maybe";

/** Why a request failed; each tag maps to one HTTP status. */
export type RequestError =
  | {
    readonly tag: "malformed";
    readonly where: string;
    readonly reason: string;
  }
  | { readonly tag: "too_large"; readonly limitBytes: number }
  | { readonly tag: "too_slow"; readonly limitMs: number }
  | { readonly tag: "unauthorised"; readonly reason: string }
  | { readonly tag: "not_allowed"; readonly name: string }
  | { readonly tag: "unknown_model"; readonly name: string }
  | { readonly tag: "unknown_service"; readonly name: string }
  | {
    readonly tag: "unknown_route";
    readonly method: string;
    readonly path: string;
  }
  | {
    readonly tag: "account_limit";
    readonly limit: number;
    readonly retryAfterMs: number;
  }
  | {
    readonly tag: "no_server";
    readonly wanted: string;
    readonly retryAfterMs: number;
  }
  | {
    readonly tag: "not_ready";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  | { readonly tag: "overloaded"; readonly retryAfterMs: number }
  | {
    readonly tag: "backend_failed";
    readonly reason: string;
    readonly ran: ExecutionStatus;
  }
  | { readonly tag: "stream_cut"; readonly reason: string }
  | {
    readonly tag: "deadline";
    readonly limitMs: number;
    readonly ran: ExecutionStatus;
  }
  | { readonly tag: "cancelled"; readonly ran: ExecutionStatus };

/** Returns whether a backend server may have executed the request. */
export function executionStatusOf(err: RequestError): ExecutionStatus {
  switch (err.tag) {
    case "backend_failed":
    case "deadline":
    case "cancelled":
      return err.ran;
    case "stream_cut":
      return "maybe";
    default:
      return "no";
  }
}

/**
 * Returns the error to report for a request whose last attempt ended with `err` and a
 * previous one with `earlier`. The execution status is "no" only if it is so for all attempts.
 */
export function mergeAttemptErrors(
  err: RequestError,
  earlier: RequestError | undefined,
): RequestError {
  const mayHaveExecuted = earlier !== undefined &&
    executionStatusOf(earlier) === "maybe";
  if (!mayHaveExecuted || executionStatusOf(err) === "maybe") return err;
  // Errors without `ran` always imply "not executed", so the earlier error is reported instead.
  return "ran" in err ? { ...err, ran: "maybe" } : earlier;
}

/** Returns the HTTP status of the response to an error. */
export function httpStatusOf(err: RequestError): number {
  switch (err.tag) {
    case "malformed":
      return 400;
    case "unauthorised":
      return 401;
    case "not_allowed":
      return 403;
    case "unknown_model":
    case "unknown_service":
    case "unknown_route":
      return 404;
    case "too_slow":
      return 408;
    case "too_large":
      return 413;
    case "account_limit":
      return 429;
    case "cancelled":
      return 499;
    case "backend_failed":
    case "stream_cut":
      return 502;
    case "no_server":
    case "not_ready":
    case "overloaded":
      return 503;
    case "deadline":
      return 504;
  }
}

/** Delay in milliseconds after which the caller should retry, where a retry may help. */
export function retryAfterMsOf(err: RequestError): number | undefined {
  return "retryAfterMs" in err ? err.retryAfterMs : undefined;
}

/** Returns the message for the caller: what happened and what the caller can do about it. */
export function errorMessageOf(err: RequestError): string {
  switch (err.tag) {
    case "malformed":
      return `Malformed request at ${err.where}: ${err.reason}`;
    case "too_large":
      return `Request body exceeds ${err.limitBytes} bytes; send a smaller one`;
    case "too_slow":
      return `Request was not received completely within ${err.limitMs} ms; send it faster`;
    case "unauthorised":
      return `${err.reason}; send "Authorization: Bearer KEY" with a key of a declared account`;
    case "not_allowed":
      return `Account is not allowed to use "${err.name}"; ask the operator for access`;
    case "unknown_model":
      return `No model or cascade is named "${err.name}"`;
    case "unknown_service":
      return `No plain service is named "${err.name}"`;
    case "unknown_route":
      return `Service does not declare ${err.method} ${err.path}`;
    case "account_limit":
      return `Account has reached its limit of ${err.limit} requests in flight; wait for one to end`;
    case "no_server":
      return `No backend server is available for "${err.wanted}"; retry later`;
    case "not_ready":
      return `Entry VM is not ready: ${err.reason}; use another address or retry later`;
    case "overloaded":
      return "Entry VM has reached its limit of requests in flight; retry later";
    case "backend_failed":
      return `Backend server did not respond: ${err.reason}`;
    case "stream_cut":
      return `Response stream was interrupted: ${err.reason}; the response is incomplete`;
    case "deadline":
      return `No response within ${err.limitMs} ms`;
    case "cancelled":
      return "Request was cancelled by the caller";
  }
}
