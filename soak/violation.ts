/** Promises that were broken, and what excuses a gateway. */

import type { CallerRecord, History } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS, CONTACT_MS } from "./soak_settings.ts";

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly what: string;
}

/** Whether a gateway, or all, had trouble in a span of time or shortly before it. */
export function wasTroubled(
  { troubles }: Pick<History, "troubles">,
  { gateway, fromMs, untilMs, names }: {
    gateway: GatewayName;
    fromMs: number;
    untilMs: number;
    /** Kinds of trouble that count; all where left out. */
    names?: ReadonlySet<string>;
  },
): boolean {
  return troubles.some((trouble) =>
    (names?.has(trouble.name) ?? true) &&
    (trouble.victim === "all" || trouble.victim === gateway) &&
    trouble.fromMs <= untilMs && trouble.untilMs >= fromMs - CONTACT_MS
  );
}

/** Names a request that broke a promise. */
export function violation(
  promise: string,
  { attempt, kind, gateway, sentMs }: CallerRecord,
  what: string,
): Violation {
  return {
    promise,
    what: `${kind} ${attempt} by ${gateway} at ${
      Math.round(sentMs)
    } ms ${what}`,
  };
}

/** Whether a request ended around a planned stop of its gateway. */
export function isNextToPlannedStop(
  { plannedStops }: History,
  { gateway, endMs }: CallerRecord,
): boolean {
  return plannedStops.some((stop) =>
    stop.gateway === gateway && endMs >= stop.atMs &&
    endMs <= stop.atMs + BOUNDS.stopGraceMs + 1_000
  );
}

/** A gateway that has started again since has forgotten what it heard. */
export function wasStopped(
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
