/**
 * Checks that gateways act on the notices in which servers request backoff or advertise draining.
 */

import type { History, NoticeRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS, IN_FLIGHT_GRACE_MS } from "./soak_settings.ts";
import {
  type Violation,
  wasAffectedByFault,
  wasRestarted,
} from "./violation.ts";

/** Faults that make a gateway lose received notices, or send requests late. */
const EXCUSING_FAULTS: ReadonlySet<string> = new Set(["kill", "freeze"]);

/** A request that reached a server, whether or not it ran there. */
interface Arrival {
  readonly server: string;
  readonly gateway: GatewayName;
  readonly attempt: string;
  /** When the caller sent the request, and when it arrived. */
  readonly sentMs: number;
  readonly atMs: number;
}

/**
 * A gateway must not send requests to a server during the backoff that the server requested from
 * it.
 */
export function checkBackoffNotices(history: History): Violation[] {
  const arrivals = listArrivals(history);
  return findViolations(history, {
    promise: "rests of servers",
    notices: history.backoffNotices,
    findLateArrival: ({ server, atMs, backoffMs }, gateway) =>
      arrivals.find((arrival) =>
        arrival.server === server && arrival.gateway === gateway &&
        arrival.atMs > atMs + IN_FLIGHT_GRACE_MS &&
        arrival.atMs < atMs + backoffMs
      ),
  });
}

/** A gateway must not send newer requests to a server that advertised to it that it is draining. */
export function checkDrainingNotices(history: History): Violation[] {
  const arrivals = listArrivals(history);
  return findViolations(history, {
    promise: "leaving words of servers",
    notices: history.drainingNotices,
    findLateArrival: ({ server, atMs }, gateway) =>
      arrivals.find((arrival) =>
        arrival.server === server && arrival.gateway === gateway &&
        arrival.sentMs > atMs + BOUNDS.drainMs
      ),
  });
}

function findViolations(
  history: History,
  { promise, notices, findLateArrival }: {
    promise: string;
    notices: readonly NoticeRecord[];
    findLateArrival: (
      notice: NoticeRecord,
      gateway: GatewayName,
    ) => Arrival | undefined;
  },
): Violation[] {
  const gateways = gatewaysByAttempt(history);
  return notices.flatMap((notice) => {
    const gateway = gateways.get(notice.attempt);
    const arrival = gateway && findLateArrival(notice, gateway);
    if (arrival === undefined) return [];
    const span = { gateway: arrival.gateway, fromMs: notice.atMs };
    const untilMs = arrival.atMs;
    if (
      wasAffectedByFault(history, {
        ...span,
        untilMs,
        faultTags: EXCUSING_FAULTS,
      })
    ) return [];
    if (wasRestarted(history, { ...span, untilMs })) return [];
    const afterMs = Math.round(arrival.atMs - notice.atMs);
    const detail = `${arrival.attempt} reached ${notice.server} from ` +
      `${arrival.gateway} ${afterMs} ms after its notice`;
    return [{ promise, detail }];
  });
}

function gatewaysByAttempt(
  { requests }: History,
): ReadonlyMap<string, GatewayName> {
  return new Map(requests.map(({ attempt, gateway }) => [attempt, gateway]));
}

function listArrivals({ requests, runs, backoffNotices }: History): Arrival[] {
  const records = new Map(requests.map((record) => [record.attempt, record]));
  return [...runs, ...backoffNotices].flatMap(({ attempt, server, atMs }) => {
    const record = records.get(attempt);
    if (record === undefined) return [];
    const { gateway, sentMs } = record;
    return [{ server, gateway, attempt, sentMs, atMs }];
  });
}
