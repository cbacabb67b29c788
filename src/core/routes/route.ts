/** Routes of callers' requests to services, as operators declare them. */

import type { AccountId, ApiKey, ModelId, RouteId, ServiceId } from "../ids.ts";

/**
 * What may be done again: `repeatable` requests may run any number of times, `once`
 * requests at most once for each attempt, and `stream` answers are events in order.
 */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service and its share of a route's requests. */
export interface WeightedTarget {
  readonly service: ServiceId;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly WeightedTarget[];
  /** Servers on which one attempt of a caller may run, at most. */
  readonly maxRuns: number;
  /** Longest time that an attempt is held, in milliseconds. */
  readonly timeLimitMs: number | undefined;
  /** Latency objective in milliseconds: of the answer, or of a stream's first event. */
  readonly targetMs: number | undefined;
  /** Longest pause between events that keeps a stream in time, in milliseconds. */
  readonly longestPauseMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
  /** Whether a stream may be continued on another server. */
  readonly resumable: boolean;
  /** Models to choose from, smallest first; empty where callers name the model. */
  readonly models: readonly ModelId[];
}

/** Whether an attempt may run more than once; streams may if they can be resumed. */
export function mayRunAgain({ kind, resumable }: Route): boolean {
  return kind === "repeatable" || (kind === "stream" && resumable);
}

/** A model that the servers of a service run, and its price. */
export interface PricedModel {
  readonly id: ModelId;
  /** Price of 1,000 generated tokens; prompt tokens count a quarter. */
  readonly costPer1kTokens: number;
}

/** What all model servers of a service have in common. */
export interface EngineProfile {
  /** Requests that one server runs at once. */
  readonly slots: number;
  /** Tokens that one server keeps in memory. */
  readonly cacheTokens: number;
  readonly models: readonly PricedModel[];
}

/** How servers begin that have just started, or have turned cold. */
export interface Warmup {
  /** How long a server stays cold, in milliseconds. */
  readonly durationMs: number;
  /** Requests that a cold server bears from all VMs together. */
  readonly requestsPerSecond: number;
}

/** A service behind routes. */
export interface Service {
  readonly id: ServiceId;
  /** Connections that one server takes from all callers together. */
  readonly maxConnections: number;
  /** Set where the servers run models. */
  readonly engine: EngineProfile | undefined;
  /** Undefined where servers bear all their work from the start. */
  readonly warmup: Warmup | undefined;
}

/** A client account and its keys. */
export interface KeyedAccount {
  readonly id: AccountId;
  readonly keys: readonly ApiKey[];
  /** Goes before the route's priority, where given. */
  readonly priority: number | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The declared routes, services and client accounts, applied as a whole. */
export interface RoutingConfiguration {
  /** Rises with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined where requests need no key at all. */
  readonly accounts: readonly KeyedAccount[] | undefined;
}
