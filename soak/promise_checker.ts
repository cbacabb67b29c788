/** Checks the history of a run against the promises that must always hold. */

import { checkAccepted } from "./accepted_check.ts";
import {
  type History,
  type RequestRecord,
  type Runs,
  runsByAttempt,
} from "./history.ts";
import { responseBody, streamBody } from "./response_bodies.ts";
import {
  checkBadPart,
  checkFalsePositives,
  checkPoison,
} from "./poison_check.ts";
import { checkLimits } from "./limit_check.ts";
import { checkBackoffNotices, checkDrainingNotices } from "./notice_check.ts";
import { checkPartitions } from "./partition_check.ts";
import { checkRestores } from "./restore_check.ts";
import { checkRetries } from "./retry_check.ts";
import { ACCOUNT, BOUNDS, MS_PER_SECOND, WARMUP } from "./soak_settings.ts";
import {
  endedDuringPlannedStop,
  requestViolation,
  type Violation,
  wasAffectedByFault,
} from "./violation.ts";

/** Statuses by which a gateway states that a request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns all promises that were broken. */
export function checkPromises(history: History): Violation[] {
  const runs = runsByAttempt(history);
  return [
    ...checkAtMostOnce(history, runs),
    ...checkRefusedRequests(history, runs),
    ...checkResponseBodies(history),
    ...checkApiKeys(history, runs),
    ...checkDrainingServers(history, runs),
    ...checkEvacuations(history, runs),
    ...checkSlowStart(history),
    ...checkPlannedStops(history, runs),
    ...checkAccepted(history, runs),
    ...checkConfigurationVersions(history),
    ...checkPoison(history),
    ...checkBadPart(history),
    ...checkFalsePositives(history),
    ...checkBackoffNotices(history),
    ...checkDrainingNotices(history),
    ...checkLimits(history),
    ...checkRetries(history),
    ...checkPartitions(history),
    ...checkRestores(history),
  ];
}

function checkAtMostOnce({ requests }: History, runs: Runs): Violation[] {
  return requests
    .filter(({ kind }) => kind === "once")
    .filter(({ attempt }) => (runs.get(attempt)?.length ?? 0) > 1)
    .map((record) => requestViolation("at most once", record, "ran twice"));
}

function checkRefusedRequests({ requests }: History, runs: Runs): Violation[] {
  return requests
    .filter(({ ending }) =>
      ending.tag === "answered" && NOT_RUN_STATUSES.has(ending.status)
    )
    .filter(({ kind, attempt }) => kind === "once" && runs.has(attempt))
    .map((record) =>
      requestViolation("refusals are true", record, "was refused, but had run")
    );
}

function checkResponseBodies({ requests }: History): Violation[] {
  return requests.flatMap((record) => {
    const { ending, attempt, kind } = record;
    if (ending.tag !== "answered" || ending.status !== 200) return [];
    const expected = kind === "stream"
      ? streamBody(attempt, 0)
      : responseBody(attempt);
    if (ending.body === expected) return [];
    return [
      requestViolation("whole answers", record, `got the body ${ending.body}`),
    ];
  });
}

function checkApiKeys(history: History, runs: Runs): Violation[] {
  const exposed = history.runs
    .filter(({ keyForwarded, account }) => keyForwarded || account !== ACCOUNT)
    .map(({ attempt, server }) => ({
      promise: "keys stay here",
      detail:
        `${attempt} at ${server} without its client account, or with an API key`,
    }));
  const removed = history.requests
    .filter(({ attempt }) => runs.has(attempt))
    .filter((record) => usedExpiredKey(history, record))
    .map((record) =>
      requestViolation("removed keys", record, "ran after its key was removed")
    );
  return [...exposed, ...removed];
}

function usedExpiredKey(
  { configurations }: History,
  { key, sentMs }: RequestRecord,
): boolean {
  const untilMs = sentMs - BOUNDS.keyRemovalMs;
  const inForce = configurations.filter(({ storedMs }) => storedMs < untilMs);
  const later = configurations.filter(({ storedMs }) =>
    storedMs >= untilMs && storedMs <= sentMs
  );
  // The last configuration before the limit must lack the key, and so must all later ones.
  const last = inForce.at(-1);
  if (last === undefined) return false;
  return [last, ...later].every(({ keys }) => !keys.includes(key));
}

function checkDrainingServers(history: History, runs: Runs): Violation[] {
  return history.requests.flatMap((record) => {
    const { sentMs, gateway } = record;
    const late = (runs.get(record.attempt) ?? []).filter(({ server }) => {
      const draining = history.drainingServers.find((one) =>
        one.server === server
      );
      if (draining === undefined) return false;
      const limitMs = draining.announcedMs + BOUNDS.drainMs;
      return sentMs > limitMs &&
        !wasAffectedByFault(history, {
          gateway,
          fromMs: draining.announcedMs,
          untilMs: sentMs,
        });
    });
    if (late.length === 0) return [];
    return [
      requestViolation("leaving servers", record, `ran at ${late[0]?.server}`),
    ];
  });
}

function checkEvacuations(history: History, runs: Runs): Violation[] {
  return history.requests
    .filter(({ attempt }) => runs.has(attempt))
    .filter(({ gateway, sentMs }) =>
      history.evacuations.some(({ orderedMs, liftedMs }) =>
        sentMs > orderedMs + BOUNDS.evacuationMs && sentMs < liftedMs &&
        !wasAffectedByFault(history, {
          gateway,
          fromMs: orderedMs,
          untilMs: sentMs,
        })
      )
    )
    // A request sent just before the evacuation is lifted may run just after.
    .filter(({ attempt, sentMs }) =>
      (runs.get(attempt) ?? []).some(({ atMs }) =>
        history.evacuations.some(({ orderedMs, liftedMs }) =>
          atMs > orderedMs && atMs < liftedMs && sentMs < liftedMs
        )
      )
    )
    .map((record) =>
      requestViolation(
        "evacuated servers",
        record,
        "ran at an evacuated server",
      )
    );
}

/** Counts requests of all gateways together, connected or not, in any second of slow start. */
function checkSlowStart({ evacuations, runs }: History): Violation[] {
  const { durationS, requestsPerSecond, overshoot, allowance } = WARMUP;
  const limit = requestsPerSecond * overshoot + allowance;
  return evacuations.flatMap(({ liftedMs }) => {
    const untilMs = liftedMs + durationS * MS_PER_SECOND;
    const cold = runs.filter(({ atMs }) => atMs >= liftedMs && atMs < untilMs);
    const servers = new Set(cold.map(({ server }) => server));
    return [...servers].flatMap((server) => {
      const times = cold.filter((run) => run.server === server)
        .map(({ atMs }) => atMs);
      const busiest = Math.max(
        ...times.map((fromMs) =>
          times.filter((atMs) =>
            atMs >= fromMs && atMs < fromMs + MS_PER_SECOND
          )
            .length
        ),
      );
      if (busiest <= limit) return [];
      const detail = `${server} got ${busiest} requests in a second`;
      return [{ promise: "cold servers", detail }];
    });
  });
}

function checkPlannedStops(history: History, runs: Runs): Violation[] {
  return history.requests
    .filter(({ ending }) => ending.tag === "cut")
    .filter(({ attempt }) =>
      (runs.get(attempt) ?? []).some(({ incomplete }) => !incomplete)
    )
    .filter((record) => endedDuringPlannedStop(history, record))
    .filter(({ gateway, sentMs, endMs }) =>
      !wasAffectedByFault(history, { gateway, fromMs: sentMs, untilMs: endMs })
    )
    .map((record) =>
      requestViolation("planned stops", record, "was cut by a planned stop")
    );
}

/** A gateway that has had a version must still have it later in the same incarnation. */
function checkConfigurationVersions({ versionProbes }: History): Violation[] {
  const first = new Map<string, number>();
  const violations: Violation[] = [];
  for (
    const { gateway, incarnation, version, probedMs, hasVersion }
      of versionProbes
  ) {
    const key = `${gateway}/${incarnation}/${version}`;
    const since = first.get(key);
    if (hasVersion) {
      if (since === undefined) first.set(key, probedMs);
    } else if (since !== undefined && probedMs > since) {
      violations.push({
        promise: "configuration never goes back",
        detail: `${gateway} had version ${version}, and ${
          Math.round(probedMs - since)
        } ms later lacked it`,
      });
    }
  }
  return violations;
}
