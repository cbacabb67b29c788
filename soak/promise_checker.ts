/** Checks what must always hold against the history of a run. */

import { checkAccepted } from "./accepted_check.ts";
import {
  type CallerRecord,
  type History,
  type Runs,
  runsByAttempt,
} from "./history.ts";
import { streamBody, wholeBody } from "./answer_bodies.ts";
import { checkInnocents, checkPoison } from "./poison_check.ts";
import { checkLimits } from "./limit_check.ts";
import { checkLeavingWords, checkRests } from "./notice_check.ts";
import { checkRetries } from "./retry_check.ts";
import { ACCOUNT, BOUNDS, MS_PER_SECOND, WARMUP } from "./soak_settings.ts";
import {
  isNextToPlannedStop,
  type Violation,
  violation,
  wasTroubled,
} from "./violation.ts";

/** Statuses by which a gateway says that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns all promises that were broken. */
export function checkPromises(history: History): Violation[] {
  const runs = runsByAttempt(history);
  return [
    ...checkAtMostOnce(history, runs),
    ...checkRefusals(history, runs),
    ...checkWholeAnswers(history),
    ...checkKeys(history, runs),
    ...checkLeaving(history, runs),
    ...checkEvacuations(history, runs),
    ...checkColdServers(history),
    ...checkPlannedStops(history, runs),
    ...checkAccepted(history, runs),
    ...checkVersions(history),
    ...checkPoison(history),
    ...checkInnocents(history),
    ...checkRests(history),
    ...checkLeavingWords(history),
    ...checkLimits(history),
    ...checkRetries(history),
  ];
}

function checkAtMostOnce({ callers }: History, runs: Runs): Violation[] {
  return callers
    .filter(({ kind }) => kind === "once")
    .filter(({ attempt }) => (runs.get(attempt)?.length ?? 0) > 1)
    .map((record) => violation("at most once", record, "ran twice"));
}

function checkRefusals({ callers }: History, runs: Runs): Violation[] {
  return callers
    .filter(({ ending }) =>
      ending.tag === "answered" && NOT_RUN.has(ending.status)
    )
    .filter(({ kind, attempt }) => kind === "once" && runs.has(attempt))
    .map((record) => violation("refusals are true", record, "had run"));
}

function checkWholeAnswers({ callers }: History): Violation[] {
  return callers.flatMap((record) => {
    const { ending, attempt, kind } = record;
    if (ending.tag !== "answered" || ending.status !== 200) return [];
    const expected = kind === "stream"
      ? streamBody(attempt, 0)
      : wholeBody(attempt);
    if (ending.body === expected) return [];
    return [violation("whole answers", record, `got ${ending.body}`)];
  });
}

function checkKeys(history: History, runs: Runs): Violation[] {
  const shown = history.runs
    .filter(({ keyShown, account }) => keyShown || account !== ACCOUNT)
    .map(({ attempt, server }) => ({
      promise: "keys stay here",
      what: `${attempt} at ${server} without its account, or with a key`,
    }));
  const removed = history.callers
    .filter(({ attempt }) => runs.has(attempt))
    .filter((record) => wasRemovedLongBefore(history, record))
    .map((record) => violation("removed keys", record, "ran"));
  return [...shown, ...removed];
}

function wasRemovedLongBefore(
  { configurations }: History,
  { key, sentMs }: CallerRecord,
): boolean {
  const untilMs = sentMs - BOUNDS.keyRemovalMs;
  const inForce = configurations.filter(({ takenMs }) => takenMs < untilMs);
  const later = configurations.filter(({ takenMs }) =>
    takenMs >= untilMs && takenMs <= sentMs
  );
  // The last one before the limit must lack the key, and so must all since.
  const last = inForce.at(-1);
  if (last === undefined) return false;
  return [last, ...later].every(({ keys }) => !keys.includes(key));
}

function checkLeaving(history: History, runs: Runs): Violation[] {
  return history.callers.flatMap((record) => {
    const { sentMs, gateway } = record;
    const late = (runs.get(record.attempt) ?? []).filter(({ server }) => {
      const leaving = history.leavings.find((one) => one.server === server);
      if (leaving === undefined) return false;
      const limitMs = leaving.saidMs + BOUNDS.drainMs;
      return sentMs > limitMs &&
        !wasTroubled(history, {
          gateway,
          fromMs: leaving.saidMs,
          untilMs: sentMs,
        });
    });
    if (late.length === 0) return [];
    return [violation("leaving servers", record, `ran at ${late[0]?.server}`)];
  });
}

function checkEvacuations(history: History, runs: Runs): Violation[] {
  return history.callers
    .filter(({ attempt }) => runs.has(attempt))
    .filter(({ gateway, sentMs }) =>
      history.evacuations.some(({ saidMs, takenBackMs }) =>
        sentMs > saidMs + BOUNDS.evacuationMs && sentMs < takenBackMs &&
        !wasTroubled(history, { gateway, fromMs: saidMs, untilMs: sentMs })
      )
    )
    // What is sent just before the servers return may run just after.
    .filter(({ attempt, sentMs }) =>
      (runs.get(attempt) ?? []).some(({ atMs }) =>
        history.evacuations.some(({ saidMs, takenBackMs }) =>
          atMs > saidMs && atMs < takenBackMs && sentMs < takenBackMs
        )
      )
    )
    .map((record) => violation("evacuated servers", record, "ran"));
}

/** Over all gateways together, in touch or not, in any second of the warm-up. */
function checkColdServers({ evacuations, runs }: History): Violation[] {
  const { durationS, requestsPerSecond, overshoot, allowance } = WARMUP;
  const most = requestsPerSecond * overshoot + allowance;
  return evacuations.flatMap(({ takenBackMs }) => {
    const untilMs = takenBackMs + durationS * MS_PER_SECOND;
    const cold = runs.filter(({ atMs }) =>
      atMs >= takenBackMs && atMs < untilMs
    );
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
      if (busiest <= most) return [];
      const what = `${server} got ${busiest} in a second`;
      return [{ promise: "cold servers", what }];
    });
  });
}

function checkPlannedStops(history: History, runs: Runs): Violation[] {
  return history.callers
    .filter(({ ending }) => ending.tag === "cut")
    .filter(({ attempt }) =>
      (runs.get(attempt) ?? []).some(({ broken }) => !broken)
    )
    .filter((record) => isNextToPlannedStop(history, record))
    .filter(({ gateway, sentMs, endMs }) =>
      !wasTroubled(history, { gateway, fromMs: sentMs, untilMs: endMs })
    )
    .map((record) => violation("planned stops", record, "was cut"));
}

/** A gateway that has shown a version in one life must go on to do so. */
function checkVersions({ shownVersions }: History): Violation[] {
  const first = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { gateway, life, version, askedMs, shown } of shownVersions) {
    const key = `${gateway}/${life}/${version}`;
    const since = first.get(key);
    if (shown) {
      if (since === undefined) first.set(key, askedMs);
    } else if (since !== undefined && askedMs > since) {
      violations.push({
        promise: "configuration never goes back",
        what: `${gateway} had version ${version}, and ${
          Math.round(askedMs - since)
        } ms later had not`,
      });
    }
  }
  return violations;
}
