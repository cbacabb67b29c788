/** Checks that all gateways together send servers no more retries than allowed. */

import { worstRetryWindow } from "../tests/fixtures/retry_count.ts";
import type { History } from "./history.ts";
import type { Violation } from "./violation.ts";

/** No fault excuses a gateway: neither restarts nor kills, freezes or disconnections. */
export function checkRetries(history: History): Violation[] {
  const served = {
    sentMs: [
      ...history.requests,
      ...history.poisonRequests,
      ...history.badPartRequests,
    ]
      .map(({ sentMs }) => sentMs)
      .sort((a, b) => a - b),
    retriesMs: retryArrivalsMs(history),
  };
  return [served, history.rejected].flatMap((service) => {
    const { retries, allowed } = worstRetryWindow(service);
    if (retries <= allowed) return [];
    const detail = `${retries} retries in a window, ${
      Math.floor(allowed)
    } allowed`;
    return [{ promise: "retries of all gateways", detail }];
  });
}

/** Arrival times of requests that had reached a server before. */
function retryArrivalsMs({ arrivals }: History): number[] {
  const arrived = new Set<string>();
  return arrivals.flatMap(({ attempt, atMs }) => {
    if (arrived.has(attempt)) return [atMs];
    arrived.add(attempt);
    return [];
  });
}
