/** Checks that what a gateway has accepted outlives changes of the configuration. */

import type { CallerRecord, History, Runs } from "./history.ts";
import { BOUNDS, ROUTE } from "./soak_settings.ts";
import {
  isNextToPlannedStop,
  type Violation,
  violation,
  wasTroubled,
} from "./violation.ts";

/** Statuses by which a gateway says that it does not accept a request. */
const NOT_ACCEPTED: ReadonlySet<number> = new Set([401, 403, 404, 503]);
/** Troubles by which a gateway may lose what it has accepted, or all of its servers. */
const LOSSES: ReadonlySet<string> = new Set([
  "kill",
  "freeze",
  "servers_lapse",
]);
/** A server that ran a gateway's request this long ago could take another of it. */
const RAN_LATELY_MS = 1_000;
/**
 * Servers that must be able to take a request: a gateway asks three at most that refuse,
 * and may not have come to a single able one by then.
 */
const ABLE_SERVERS = 2;
/** A gateway may end a request this long before its time is up, when it is of no use. */
const SHORT_TIME_MS = 100;

/** What a gateway has accepted and sent must not end by what it would accept later. */
export function checkAccepted(history: History, runs: Runs): Violation[] {
  return history.callers
    .filter((record) => wasGivenUp(record))
    .filter((record) => hadRunsLeft(record, runs))
    .filter((record) => wasBesideChange(history, record))
    .filter((record) => !isNextToPlannedStop(history, record))
    .filter(({ gateway, sentMs, endMs }) =>
      !wasTroubled(history, {
        gateway,
        fromMs: sentMs,
        untilMs: endMs,
        names: LOSSES,
      })
    )
    .filter((record) => ableServers(history, runs, record) >= ABLE_SERVERS)
    .map((record) =>
      violation(
        "accepted requests outlive changes of the configuration",
        record,
        `ended after ${Math.round(record.endMs - record.sentMs)} ms with ${
          record.ending.tag === "answered" ? record.ending.status : "a cut"
        }`,
      )
    );
}

function wasGivenUp({ kind, ending }: CallerRecord): boolean {
  if (kind === "stream") return ending.tag === "cut" && ending.begun;
  return kind === "repeatable" && ending.tag === "answered" &&
    NOT_ACCEPTED.has(ending.status);
}

/** Whether a request that had run could have been run once more. */
function hadRunsLeft(
  { attempt, sentMs, endMs }: CallerRecord,
  runs: Runs,
): boolean {
  const ran = runs.get(attempt)?.length ?? 0;
  return ran > 0 && ran < ROUTE.maxRuns &&
    endMs - sentMs < ROUTE.timeLimitMs - SHORT_TIME_MS;
}

/** Whether a change came into force, or a confirmation ran out, while a request ran. */
function wasBesideChange(
  { configurations, troubles }: History,
  { sentMs, endMs }: CallerRecord,
): boolean {
  const changed = configurations.some(({ takenMs }) =>
    takenMs >= sentMs - BOUNDS.configurationApplyMs && takenMs <= endMs
  );
  return changed ||
    troubles.some(({ name, fromMs, untilMs }) =>
      !LOSSES.has(name) && fromMs <= endMs &&
      untilMs >= sentMs - BOUNDS.keyRemovalMs
    );
}

/** Servers in order that ran other requests of the same gateway shortly before. */
function ableServers(
  history: History,
  runs: Runs,
  { attempt, gateway, endMs }: CallerRecord,
): number {
  const tried = new Set(runs.get(attempt)?.map(({ server }) => server));
  const fromMs = endMs - RAN_LATELY_MS;
  const able = history.callers
    .filter((other) => other.gateway === gateway)
    .flatMap((other) => runs.get(other.attempt) ?? [])
    .filter(({ atMs, broken }) => !broken && atMs >= fromMs && atMs <= endMs)
    .map(({ server }) => server)
    .filter((server) => !tried.has(server))
    .filter((server) =>
      !history.serverTroubles.some((trouble) =>
        trouble.server === server && trouble.fromMs <= endMs &&
        trouble.untilMs >= fromMs
      )
    );
  return new Set(able).size;
}
