/** Time bounds of the soak test's deployment, and its size. */

/** Bounds that the gateways are configured with and the checks enforce, in milliseconds. */
export const BOUNDS = {
  configurationApplyMs: 2_000,
  keyRemovalMs: 3_000,
  drainMs: 2_000,
  stopGraceMs: 4_000,
  evacuationMs: 2_000,
} as const;

/**
 * Time after a fault during which time bounds do not apply to a gateway: the longest time that the
 * users allow a gateway to be disconnected.
 */
export const MAX_DISCONNECTED_MS = 3_000;

/** Limits that the routes set for one request. */
export const ROUTE = {
  /** Maximum runs on servers, for requests that may be repeated. */
  maxRuns: 3,
  /** Time within which the response must have ended, in milliseconds. */
  timeLimitMs: 3_000,
} as const;

/** Reading calls that the store allows all gateways together in a second, as users set it. */
export const READS_PER_S = 1_400;

/** Slow start of servers that get requests again after an evacuation. */
export const WARMUP = {
  durationS: 1,
  requestsPerSecond: 10,
  /** All gateways together may send `overshoot` times the rate plus `allowance` in a second. */
  overshoot: 1.5,
  allowance: 5,
} as const;

/** Groups of faults that are played after those that are drawn. */
export const PHASES = ["changes", "outages", "crashes"] as const;
export type SoakPhase = (typeof PHASES)[number];

/** Size of one run. */
export interface SoakSize {
  readonly gateways: number;
  readonly servers: number;
  readonly callers: number;
  /** Duration of the phase with drawn faults, in milliseconds. */
  readonly runMs: number;
  readonly phases: readonly SoakPhase[];
}

/** Host of all routes. */
export const HOST = "soak.example";
/** Path of the poison request, which crashes each server that starts to run it. */
export const POISON_PATH = "/stream/poison";
/** Number of servers that a poison request may crash before gateways must block it. */
export const MAX_POISON_CRASHES = 3;
/** Header that lists the parts of a prompt. */
export const PARTS_HEADER = "fieldrack-prefix-hash";
/** Prompt part that most streams share. */
export const SHARED_PART = "a0:100";
/** Prompt part that crashes each server that starts a response to it. */
export const BAD_PART = "bad:100";
/** Servers that crash under a prompt part before its requests are counted. */
export const COUNTED_PART_CRASHES = 5;
/** Requests with the part that may reach servers afterwards. */
export const MAX_LATE_PART_ARRIVALS = 3;
/** Name of the only client account. */
export const ACCOUNT = "garden";
/** Name of the service whose servers run requests. */
export const SERVICE = "model";
/** The service whose servers reject every request, and the path of its route. */
export const REJECTING_SERVICE = "rejecting";
export const REJECTED_PATH = "/rejected/";
/** Backoff that a server requests, in milliseconds. */
export const BACKOFF_MS = 1_500;
/** Time that the users allow for requests in flight when a server requests backoff. */
export const IN_FLIGHT_GRACE_MS = 500;
/** Rate limit that a server advertises, in requests per second. */
export const SERVER_LIMIT_PER_S = 2;
export const MS_PER_SECOND = 1_000;
