/** Checks that all gateways together keep to the rate limits that servers advertise. */

import type { History, LimitRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import {
  allowedInWindow,
  COUNT_WINDOW_MS,
  maxInWindow,
} from "../tests/fixtures/limit_count.ts";
import {
  IN_FLIGHT_GRACE_MS,
  MAX_DISCONNECTED_MS,
  SERVER_LIMIT_PER_S,
} from "./soak_settings.ts";
import {
  type Violation,
  wasAffectedByFault,
  wasRestarted,
} from "./violation.ts";

/** Faults that make a gateway lose received limits, or send requests late. */
const EXCUSING_FAULTS: ReadonlySet<string> = new Set(["kill", "freeze"]);

interface Arrival {
  readonly gateway: GatewayName;
  readonly atMs: number;
}

/**
 * Counts the requests of gateways that had forwarded a response with the limit, beginning
 * `MAX_DISCONNECTED_MS` after the server first advertised it.
 */
export function checkLimits(history: History): Violation[] {
  const servers = new Set(history.limitNotices.map(({ server }) => server));
  return [...servers].flatMap((server) => {
    const times = countedArrivalsMs(history, server);
    const busiest = maxInWindow(times);
    if (busiest <= allowedInWindow(SERVER_LIMIT_PER_S)) return [];
    const detail = `${server} got ${busiest} requests in ${COUNT_WINDOW_MS} ms`;
    return [{ promise: "limits of servers", detail }];
  });
}

/** Times of the arrivals that count, in ascending order. */
function countedArrivalsMs(history: History, server: string): number[] {
  const notices = history.limitNotices.filter((notice) =>
    notice.server === server
  );
  const firstMs = Math.min(...notices.map(({ atMs }) => atMs));
  const lastMs = Math.max(...notices.map(({ atMs }) => atMs));
  const knownSinceMs = limitKnownSinceMs(history, notices);
  return arrivalsAt(history, server)
    .filter(({ gateway, atMs }) =>
      atMs >= firstMs + MAX_DISCONNECTED_MS && atMs <= lastMs &&
      atMs >= (knownSinceMs.get(gateway) ?? Infinity) + IN_FLIGHT_GRACE_MS &&
      !isExcused(history, { gateway, fromMs: firstMs, untilMs: atMs })
    )
    .map(({ atMs }) => atMs)
    .sort((a, b) => a - b);
}

/** When each gateway first forwarded a response that advertises the limit. */
function limitKnownSinceMs(
  { requests }: History,
  notices: readonly LimitRecord[],
): ReadonlyMap<GatewayName, number> {
  const records = new Map(requests.map((record) => [record.attempt, record]));
  const knownSinceMs = new Map<GatewayName, number>();
  for (const { attempt } of notices) {
    const record = records.get(attempt);
    if (record === undefined) continue;
    const { gateway, endMs } = record;
    knownSinceMs.set(
      gateway,
      Math.min(endMs, knownSinceMs.get(gateway) ?? Infinity),
    );
  }
  return knownSinceMs;
}

function arrivalsAt({ requests, runs }: History, server: string): Arrival[] {
  const gateways = new Map(
    requests.map(({ attempt, gateway }) => [attempt, gateway]),
  );
  return runs.filter((run) => run.server === server)
    .flatMap(({ attempt, atMs }) => {
      const gateway = gateways.get(attempt);
      return gateway === undefined ? [] : [{ gateway, atMs }];
    });
}

function isExcused(
  history: History,
  span: { gateway: GatewayName; fromMs: number; untilMs: number },
): boolean {
  return wasAffectedByFault(history, { ...span, faultTags: EXCUSING_FAULTS }) ||
    wasRestarted(history, span);
}
