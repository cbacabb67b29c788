/** Checks that servers get no more from all gateways together than they have named. */

import type { History, LimitRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import {
  allowedInWindow,
  COUNT_WINDOW_MS,
  maxInWindow,
} from "../tests/fixtures/limit_count.ts";
import {
  CONTACT_MS,
  ON_ITS_WAY_MS,
  SERVER_LIMIT_PER_S,
} from "./soak_settings.ts";
import { type Violation, wasStopped, wasTroubled } from "./violation.ts";

/** Troubles by which a gateway forgets what it has heard, or acts late. */
const EXCUSES: ReadonlySet<string> = new Set(["kill", "freeze"]);

interface Arrival {
  readonly gateway: GatewayName;
  readonly atMs: number;
}

/**
 * From a while after a server first named its limit on, over all gateways that had passed on such
 * an answer.
 */
export function checkLimits(history: History): Violation[] {
  const servers = new Set(history.limits.map(({ server }) => server));
  return [...servers].flatMap((server) => {
    const times = countedMs(history, server);
    const most = maxInWindow(times);
    if (most <= allowedInWindow(SERVER_LIMIT_PER_S)) return [];
    const what = `${server} got ${most} in ${COUNT_WINDOW_MS} ms`;
    return [{ promise: "limits of servers", what }];
  });
}

/** Moments at which requests arrived that count, in rising order. */
function countedMs(history: History, server: string): number[] {
  const words = history.limits.filter((word) => word.server === server);
  const firstMs = Math.min(...words.map(({ atMs }) => atMs));
  const lastMs = Math.max(...words.map(({ atMs }) => atMs));
  const told = toldMs(history, words);
  return arrivalsAt(history, server)
    .filter(({ gateway, atMs }) =>
      atMs >= firstMs + CONTACT_MS && atMs <= lastMs &&
      atMs >= (told.get(gateway) ?? Infinity) + ON_ITS_WAY_MS &&
      !isExcused(history, { gateway, fromMs: firstMs, untilMs: atMs })
    )
    .map(({ atMs }) => atMs)
    .sort((a, b) => a - b);
}

/** When each gateway first passed on an answer that names the limit. */
function toldMs(
  { callers }: History,
  words: readonly LimitRecord[],
): ReadonlyMap<GatewayName, number> {
  const records = new Map(callers.map((record) => [record.attempt, record]));
  const told = new Map<GatewayName, number>();
  for (const { attempt } of words) {
    const record = records.get(attempt);
    if (record === undefined) continue;
    const { gateway, endMs } = record;
    told.set(gateway, Math.min(endMs, told.get(gateway) ?? Infinity));
  }
  return told;
}

function arrivalsAt({ callers, runs }: History, server: string): Arrival[] {
  const gateways = new Map(
    callers.map(({ attempt, gateway }) => [attempt, gateway]),
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
  return wasTroubled(history, { ...span, names: EXCUSES }) ||
    wasStopped(history, span);
}
