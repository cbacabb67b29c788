/** Time limits of the soak's deployment, and how large it is. */

/** Bounds that the gateways are told and the checks hold them to, in milliseconds. */
export const BOUNDS = {
  configurationApplyMs: 2_000,
  keyRemovalMs: 3_000,
  drainMs: 2_000,
  stopGraceMs: 4_000,
  evacuationMs: 2_000,
} as const;

/**
 * Time after trouble during which a gateway is not held to limits of time: as long as the
 * users allow it to be out of touch.
 */
export const CONTACT_MS = 3_000;

/** What the routes of callers allow one request. */
export const ROUTE = {
  /** Runs on servers, where the request may be repeated. */
  maxRuns: 3,
  /** Time until its answer must have ended, in milliseconds. */
  timeLimitMs: 3_000,
} as const;

/** How servers begin that are given work again after an evacuation. */
export const WARMUP = {
  durationS: 1,
  requestsPerSecond: 10,
  /** Times as many as they bear, and so many more, that all gateways may send in a second. */
  overshoot: 1.5,
  allowance: 5,
} as const;

/** What one run consists of. */
export interface SoakSize {
  readonly gateways: number;
  readonly servers: number;
  readonly callers: number;
  /** Time with faults, in milliseconds. */
  readonly runMs: number;
}

/** Host of all routes. */
export const HOST = "soak.example";
/** Path of the request that ends each server that begins to run it. */
export const POISON_PATH = "/stream/poison";
/** Servers that may end under it. */
export const POISON_LIMIT = 3;
/** Name of the one client account. */
export const ACCOUNT = "garden";
/** The service that serves. */
export const SERVICE = "model";
/** The service whose servers reject every request, and the path of its route. */
export const REJECTING_SERVICE = "rejecting";
export const REJECTED_PATH = "/rejected/";
/** Rest that a server asks for, in milliseconds. */
export const REST_MS = 1_500;
/** Time for what is on its way to a server as it asks for rest, as the users allow it. */
export const ON_ITS_WAY_MS = 500;
/** Requests a second that a server takes that names a limit. */
export const SERVER_LIMIT_PER_S = 2;
export const MS_PER_SECOND = 1_000;
