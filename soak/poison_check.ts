/** Checks that poison requests are blocked, and that no other requests are. */

import type { History } from "./history.ts";
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
export function checkPoison(
  { poisonCrashes, poisonRequests, runs, ...history }: History,
): Violation[] {
  const thresholdCrash = poisonCrashes[MAX_POISON_CRASHES - 1];
  if (thresholdCrash === undefined) return [];
  const requests = new Map(poisonRequests.map((one) => [one.attempt, one]));
  return runs
    .filter(({ poison, atMs }) =>
      poison && atMs > thresholdCrash.atMs + MAX_DISCONNECTED_MS
    )
    .flatMap(({ attempt, server, atMs }) => {
      const record = requests.get(attempt);
      if (record === undefined) return [];
      const { gateway, sentMs } = record;
      const span = { gateway, fromMs: sentMs, untilMs: atMs };
      if (wasAffectedByFault(history, span)) return [];
      return [
        requestViolation("crashing requests", record, `ran at ${server}`),
      ];
    });
}

/**
 * Once five servers have crashed under a prompt part and all gateways know, at most three more
 * requests with it reach servers, whichever they are.
 */
export function checkBadPart(
  { badPartCrashes, badPartRequests, runs, ...history }: History,
): Violation[] {
  const thresholdCrash = badPartCrashes[COUNTED_PART_CRASHES - 1];
  if (thresholdCrash === undefined) return [];
  const requests = new Map(badPartRequests.map((one) => [one.attempt, one]));
  const late = runs
    .filter(({ badPart, atMs }) =>
      badPart && atMs > thresholdCrash.atMs + MAX_DISCONNECTED_MS
    )
    .flatMap(({ attempt, server, atMs }) => {
      const record = requests.get(attempt);
      if (record === undefined) return [];
      const { gateway, sentMs } = record;
      const span = { gateway, fromMs: sentMs, untilMs: atMs };
      if (wasAffectedByFault(history, span)) return [];
      return [
        requestViolation("crashing prompt part", record, `ran at ${server}`),
      ];
    });
  return late.length > MAX_LATE_PART_ARRIVALS ? late : [];
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
