/** Routing configuration as declared by operators: routes, services and client accounts. */

import type { AccountId, ApiKey, ModelId, RouteId, ServiceId } from "../ids.ts";

/**
 * Execution semantics: `repeatable` requests may run any number of times, `once` requests run
 * at most once per caller attempt, and `stream` responses are ordered events.
 */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service and its weight among the targets of a route. */
export interface WeightedTarget {
  readonly service: ServiceId;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** Maps requests by host and path prefix to services. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly WeightedTarget[];
  /** Maximum number of servers on which a caller's attempt may run. */
  readonly maxRuns: number;
  /** Maximum time that a caller's attempt is kept open, in milliseconds. */
  readonly timeLimitMs: number | undefined;
  /** Latency objective in milliseconds, for the response or for the first event of a stream. */
  readonly targetMs: number | undefined;
  /** Longest pause between events with which a stream meets its objective, in milliseconds. */
  readonly longestPauseMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether requests are accepted without an API key. */
  readonly anonymous: boolean;
  /** Whether a stream may be continued on another server. */
  readonly resumable: boolean;
  /** Models to choose from, smallest first; empty if callers specify the model. */
  readonly models: readonly ModelId[];
}

/** Whether an attempt may run more than once; a stream may only if it is resumable. */
export function mayRunMoreThanOnce({ kind, resumable }: Route): boolean {
  return kind === "repeatable" || (kind === "stream" && resumable);
}

/** A model that the servers of a service run, and its price. */
export interface PricedModel {
  readonly id: ModelId;
  /** Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one. */
  readonly costPer1kTokens: number;
}

/** Properties shared by all model servers of a service. */
export interface EngineProfile {
  /** Number of requests that a server runs concurrently. */
  readonly slots: number;
  /** Number of tokens that a server can cache in memory. */
  readonly cacheTokens: number;
  readonly models: readonly PricedModel[];
}

/** Slow start of servers that have just started or become cold. */
export interface Warmup {
  /** Duration of the slow start, in milliseconds. */
  readonly durationMs: number;
  /** Maximum request rate of a cold server, summed over all VMs. */
  readonly requestsPerSecond: number;
}

/** A service behind routes. */
export interface Service {
  readonly id: ServiceId;
  /** Maximum number of connections that a server accepts, summed over all clients. */
  readonly maxConnections: number;
  /** Undefined unless the servers run models. */
  readonly engine: EngineProfile | undefined;
  /** Undefined if servers can handle their full load immediately after the start. */
  readonly warmup: Warmup | undefined;
}

/** A client account and its keys. */
export interface KeyedAccount {
  readonly id: AccountId;
  readonly keys: readonly ApiKey[];
  /** Overrides the priority of the route, if defined. */
  readonly priority: number | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The declared routes, services and client accounts, which are applied as a whole. */
export interface RoutingConfiguration {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined if no request needs an API key. */
  readonly accounts: readonly KeyedAccount[] | undefined;
}
