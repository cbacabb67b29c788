/** Broken promises, and the faults and restarts that excuse a gateway. */

import type { History, RequestRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS, MAX_DISCONNECTED_MS } from "./soak_settings.ts";

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/**
 * Whether a fault of this gateway, or of all gateways, was active in a time span or up to
 * `MAX_DISCONNECTED_MS` before it.
 */
export function wasAffectedByFault(
  { faultWindows }: Pick<History, "faultWindows">,
  { gateway, fromMs, untilMs, faultTags }: {
    gateway: GatewayName;
    fromMs: number;
    untilMs: number;
    /** Faults that count; all if omitted. */
    faultTags?: ReadonlySet<string>;
  },
): boolean {
  return faultWindows.some((window) =>
    (faultTags?.has(window.name) ?? true) &&
    (window.target === "all" || window.target === gateway) &&
    window.fromMs <= untilMs && window.untilMs >= fromMs - MAX_DISCONNECTED_MS
  );
}

/** Describes the violation of a promise by a request. */
export function requestViolation(
  promise: string,
  { attempt, kind, gateway, sentMs }: RequestRecord,
  detail: string,
): Violation {
  return {
    promise,
    detail: `${kind} ${attempt} sent to ${gateway} at ${
      Math.round(sentMs)
    } ms ${detail}`,
  };
}

/** Whether a request ended during or shortly after a planned stop of its gateway. */
export function endedDuringPlannedStop(
  { plannedStops }: History,
  { gateway, endMs }: RequestRecord,
): boolean {
  return plannedStops.some((stop) =>
    stop.gateway === gateway && endMs >= stop.atMs &&
    endMs <= stop.atMs + BOUNDS.stopGraceMs + 1_000
  );
}

/** Whether a gateway had a planned stop in a time span; a restart loses the received notices. */
export function wasRestarted(
  { plannedStops }: History,
  { gateway, fromMs, untilMs }: {
    gateway: GatewayName;
    fromMs: number;
    untilMs: number;
  },
): boolean {
  return plannedStops.some((stop) =>
    stop.gateway === gateway && stop.atMs <= untilMs &&
    stop.atMs + BOUNDS.stopGraceMs >= fromMs
  );
}
