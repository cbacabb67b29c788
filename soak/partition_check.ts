/** Checks that gateways without links to servers serve callers like the others. */

import type { History, RequestRecord } from "./history.ts";
import { MAX_DISCONNECTED_MS } from "./soak_settings.ts";
import type { Violation } from "./violation.ts";

/** Fault that cuts the links from one gateway to all servers. */
export const SERVERS_CUT = "servers_cut";
/** Share of what the others serve that gateways without links must serve. */
const MIN_SERVED_SHARE = 2 / 3;
/** Failed requests that are allowed: this many, and this share of all. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Applies from `MAX_DISCONNECTED_MS` after a cut; requests of different cuts are not mixed. */
export function checkPartitions(history: History): Violation[] {
  const windows = history.faultWindows.filter(({ name }) =>
    name === SERVERS_CUT
  );
  const spans = new Map(
    windows.map(({ fromMs, untilMs }) => [Math.round(fromMs), untilMs]),
  );
  return [...spans].flatMap(([fromMs, untilMs]) => {
    const cut = windows
      .filter((window) => Math.abs(window.fromMs - fromMs) < 1_000)
      .map(({ target }) => target);
    const requests = history.requests.filter(({ sentMs, endMs }) =>
      sentMs >= fromMs + MAX_DISCONNECTED_MS && endMs <= untilMs
    );
    const there = countServed(
      requests.filter(({ gateway }) => cut.includes(gateway)),
    );
    const others = countServed(
      requests.filter(({ gateway }) => !cut.includes(gateway)),
    );
    const isWorse = there.served * others.sent <
      MIN_SERVED_SHARE * others.served * there.sent;
    const failed = there.sent - there.served;
    const isFrequent = failed >
      ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * requests.length;
    if (!isWorse || !isFrequent) return [];
    const detail = `${there.served} of ${there.sent} requests served at ` +
      `${cut.join(", ")}, ${others.served} of ${others.sent} at the others`;
    return [{ promise: "gateways without links to servers", detail }];
  });
}

function countServed(requests: readonly RequestRecord[]) {
  const served = requests.filter(({ ending }) =>
    ending.tag === "answered" && ending.status === 200
  );
  return { sent: requests.length, served: served.length };
}
