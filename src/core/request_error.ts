/** Every way in which fieldrack declines or gives up a request. */

/**
 * Whether a backend server may have worked on the request: `"no"` is only said
 * when no byte of it was sent to one.
 */
export type Ran = "no" | "maybe";

/** Why a request got no answer; each kind has one HTTP status. */
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
    readonly ran: Ran;
  }
  | { readonly tag: "stream_cut"; readonly reason: string }
  | { readonly tag: "deadline"; readonly limitMs: number; readonly ran: Ran }
  | { readonly tag: "cancelled"; readonly ran: Ran };

/** Tells whether a backend server may have worked on the request. */
export function ranOf(err: RequestError): Ran {
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
 * What to tell of a request whose last try ended with `err` and one before it with
 * `earlier`: "not run" is true only if it is true of all tries.
 */
export function errorAfter(
  err: RequestError,
  earlier: RequestError | undefined,
): RequestError {
  const mayHaveRun = earlier !== undefined && ranOf(earlier) === "maybe";
  if (!mayHaveRun || ranOf(err) === "maybe") return err;
  // A kind that always says "not run" would be untrue, so the earlier one stands.
  return "ran" in err ? { ...err, ran: "maybe" } : earlier;
}

/** HTTP status by which an error is answered. */
export function statusOf(err: RequestError): number {
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

/** Milliseconds after which a caller should try again, where trying again helps. */
export function retryAfterOf(err: RequestError): number | undefined {
  return "retryAfterMs" in err ? err.retryAfterMs : undefined;
}

/** Says what happened and what the caller can do about it. */
export function messageOf(err: RequestError): string {
  switch (err.tag) {
    case "malformed":
      return `Request is malformed at ${err.where}: ${err.reason}`;
    case "too_large":
      return `Body is larger than ${err.limitBytes} bytes; send a smaller one`;
    case "too_slow":
      return `Request was not whole within ${err.limitMs} ms; send it faster`;
    case "unauthorised":
      return `${err.reason}; send "Authorization: Bearer KEY" with a key of a declared account`;
    case "not_allowed":
      return `Account may not use "${err.name}"; ask the operator to allow it`;
    case "unknown_model":
      return `No model or cascade is named "${err.name}"`;
    case "unknown_service":
      return `No plain service is named "${err.name}"`;
    case "unknown_route":
      return `Service does not declare ${err.method} ${err.path}`;
    case "account_limit":
      return `Account has ${err.limit} requests in flight, which is its limit; wait for one to end`;
    case "no_server":
      return `No backend server can take "${err.wanted}" now; try again later`;
    case "not_ready":
      return `Entry cannot serve now: ${err.reason}; use another address or try again later`;
    case "overloaded":
      return "Entry has as many requests in flight as it takes; try again later";
    case "backend_failed":
      return `Backend server gave no answer: ${err.reason}`;
    case "stream_cut":
      return `Answer was cut before its end: ${err.reason}; what was sent is not whole`;
    case "deadline":
      return `No answer within ${err.limitMs} ms`;
    case "cancelled":
      return "Caller cancelled the request";
  }
}
