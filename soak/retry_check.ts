/** Checks that servers get no more retries from all gateways together than are allowed. */

import { worstRetryWindow } from "../tests/fixtures/retry_count.ts";
import type { History } from "./history.ts";
import type { Violation } from "./violation.ts";

/** No trouble excuses a gateway: neither restarts nor kills, freezes or cuts. */
export function checkRetries(history: History): Violation[] {
  const served = {
    sentMs: [...history.callers, ...history.poisonCallers]
      .map(({ sentMs }) => sentMs)
      .sort((a, b) => a - b),
    retriesMs: retriesOf(history),
  };
  return [served, history.rejected].flatMap((service) => {
    const { retries, allowed } = worstRetryWindow(service);
    if (retries <= allowed) return [];
    const what = `${retries} in a window, ${Math.floor(allowed)} allowed`;
    return [{ promise: "retries of all gateways", what }];
  });
}

/** When requests arrived at servers that had arrived at one before. */
function retriesOf({ arrivals }: History): number[] {
  const arrived = new Set<string>();
  return arrivals.flatMap(({ attempt, atMs }) => {
    if (arrived.has(attempt)) return [atMs];
    arrived.add(attempt);
    return [];
  });
}
