/** Checks that requests a gateway has accepted survive configuration changes. */

import type { History, RequestRecord, Runs } from "./history.ts";
import { SERVERS_CUT } from "./partition_check.ts";
import { BOUNDS, ROUTE } from "./soak_settings.ts";
import {
  endedDuringPlannedStop,
  requestViolation,
  type Violation,
  wasAffectedByFault,
} from "./violation.ts";

/** Statuses by which a gateway refuses to accept a request. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([401, 403, 404, 503]);
/** Faults that may make a gateway lose accepted requests, or all of its backend servers. */
const EXCUSING_FAULTS: ReadonlySet<string> = new Set([
  "kill",
  "freeze",
  "servers_lapse",
  // Requests that run through another gateway don't show that this one reaches a server.
  SERVERS_CUT,
]);
/** A server that ran a request of the gateway within this time is assumed able to run another. */
const RECENT_RUN_MS = 1_000;
/**
 * Backend servers that must have been available. A gateway sends a request to at most three
 * servers that refuse it, so with a single available one it may not reach that one.
 */
const MIN_AVAILABLE_SERVERS = 2;
/**
 * A gateway may end a request this long before its deadline, when the remaining time is too short
 * for another attempt.
 */
const MIN_REMAINING_MS = 100;

/**
 * An accepted and forwarded request must not fail because the gateway would no longer accept it.
 */
export function checkAccepted(history: History, runs: Runs): Violation[] {
  return history.requests
    .filter((record) => wasAbandoned(record))
    .filter((record) => hadAttemptsLeft(record, runs))
    .filter((record) => overlapsConfigurationChange(history, record))
    .filter((record) => !endedDuringPlannedStop(history, record))
    .filter(({ gateway, sentMs, endMs }) =>
      !wasAffectedByFault(history, {
        gateway,
        fromMs: sentMs,
        untilMs: endMs,
        faultTags: EXCUSING_FAULTS,
      })
    )
    .filter((record) =>
      countAvailableServers(history, runs, record) >= MIN_AVAILABLE_SERVERS
    )
    .map((record) =>
      requestViolation(
        "accepted requests outlive changes of the configuration",
        record,
        `ended after ${Math.round(record.endMs - record.sentMs)} ms with ${
          record.ending.tag === "answered" ? record.ending.status : "a cut"
        }`,
      )
    );
}

function wasAbandoned({ kind, ending }: RequestRecord): boolean {
  if (kind === "stream") return ending.tag === "cut" && ending.begun;
  return kind === "repeatable" && ending.tag === "answered" &&
    REFUSAL_STATUSES.has(ending.status);
}

/** Whether a request that had run on a server could have been attempted again. */
function hadAttemptsLeft(
  { attempt, sentMs, endMs }: RequestRecord,
  runs: Runs,
): boolean {
  const ran = runs.get(attempt)?.length ?? 0;
  return ran > 0 && ran < ROUTE.maxRuns &&
    endMs - sentMs < ROUTE.timeLimitMs - MIN_REMAINING_MS;
}

/**
 * Whether a configuration took effect, or the confirmation of one expired, while a request was in
 * progress.
 */
function overlapsConfigurationChange(
  { configurations, faultWindows }: History,
  { sentMs, endMs }: RequestRecord,
): boolean {
  const changed = configurations.some(({ storedMs }) =>
    storedMs >= sentMs - BOUNDS.configurationApplyMs && storedMs <= endMs
  );
  return changed ||
    faultWindows.some(({ name, fromMs, untilMs }) =>
      !EXCUSING_FAULTS.has(name) && fromMs <= endMs &&
      untilMs >= sentMs - BOUNDS.keyRemovalMs
    );
}

/**
 * Counts untried, fault-free backend servers that recently ran other requests of the same gateway.
 */
function countAvailableServers(
  history: History,
  runs: Runs,
  { attempt, gateway, endMs }: RequestRecord,
): number {
  const tried = new Set(runs.get(attempt)?.map(({ server }) => server));
  const fromMs = endMs - RECENT_RUN_MS;
  const available = history.requests
    .filter((other) => other.gateway === gateway)
    .flatMap((other) => runs.get(other.attempt) ?? [])
    .filter(({ atMs, incomplete }) =>
      !incomplete && atMs >= fromMs && atMs <= endMs
    )
    .map(({ server }) => server)
    .filter((server) => !tried.has(server))
    .filter((server) =>
      !history.serverFaultWindows.some((window) =>
        window.server === server && window.fromMs <= endMs &&
        window.untilMs >= fromMs
      )
    );
  return new Set(available).size;
}
