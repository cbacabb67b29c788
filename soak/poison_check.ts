/** Checks that poison requests are blocked, and that no other requests are. */

import type {
  History,
  PoisonCrash,
  RequestRecord,
  RunRecord,
} from "./history.ts";
import {
  COUNTED_PART_CRASHES,
  MAX_DISCONNECTED_MS,
  MAX_LATE_PART_ARRIVALS,
  MAX_POISON_CRASHES,
} from "./soak_settings.ts";
import {
  requestViolation,
  type Violation,
  wasAffectedByFault,
} from "./violation.ts";

/** Matches refusals of a poison request, both before it ran and after the gateway's own attempt. */
const POISON_REFUSAL = /"crashes_servers"|servers crashed while running/;

/** Once three servers have crashed and all gateways know, no gateway sends the request. */
export function checkPoison(history: History): Violation[] {
  return findLateRuns(history, {
    promise: "crashing requests",
    crash: history.poisonCrashes[MAX_POISON_CRASHES - 1],
    requests: history.poisonRequests,
    runs: history.runs.filter(({ poison }) => poison),
  });
}

/**
 * Once five servers have crashed under a prompt part and all gateways know, at most three more
 * requests with it reach servers, whichever they are.
 */
export function checkBadPart(history: History): Violation[] {
  const late = findLateRuns(history, {
    promise: "crashing prompt part",
    crash: history.badPartCrashes[COUNTED_PART_CRASHES - 1],
    requests: history.badPartRequests,
    runs: history.runs.filter(({ badPart }) => badPart),
  });
  return late.length > MAX_LATE_PART_ARRIVALS ? late : [];
}

/** Runs that began after all gateways had time to learn of a crash, unless a fault excuses them. */
function findLateRuns(
  history: History,
  { promise, crash, requests, runs }: {
    promise: string;
    crash: PoisonCrash | undefined;
    requests: readonly RequestRecord[];
    runs: readonly RunRecord[];
  },
): Violation[] {
  if (crash === undefined) return [];
  const byAttempt = new Map(requests.map((one) => [one.attempt, one]));
  return runs
    .filter(({ atMs }) => atMs > crash.atMs + MAX_DISCONNECTED_MS)
    .flatMap(({ attempt, server, atMs }) => {
      const record = byAttempt.get(attempt);
      if (record === undefined) return [];
      const { gateway, sentMs } = record;
      const span = { gateway, fromMs: sentMs, untilMs: atMs };
      if (wasAffectedByFault(history, span)) return [];
      return [requestViolation(promise, record, `ran at ${server}`)];
    });
}

/** Only requests that crash servers may be refused as such. */
export function checkFalsePositives({ requests }: History): Violation[] {
  return requests
    .filter(({ ending }) =>
      ending.tag === "answered" && POISON_REFUSAL.test(ending.body)
    )
    .map((record) =>
      requestViolation(
        "innocent requests",
        record,
        "was refused as a poison request",
      )
    );
}
