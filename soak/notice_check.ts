/** Checks that gateways keep to what servers say of themselves. */

import type { History, NoticeRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS, ON_ITS_WAY_MS } from "./soak_settings.ts";
import { type Violation, wasStopped, wasTroubled } from "./violation.ts";

/** Troubles by which a gateway forgets what it has heard, or acts late. */
const EXCUSES: ReadonlySet<string> = new Set(["kill", "freeze"]);

/** A request that reached a server, whether or not it ran there. */
interface Arrival {
  readonly server: string;
  readonly gateway: GatewayName;
  readonly attempt: string;
  /** When its caller sent it, and when it arrived. */
  readonly sentMs: number;
  readonly atMs: number;
}

/** Nothing reaches a server from a gateway that it has asked for rest. */
export function checkRests(history: History): Violation[] {
  const arrivals = arrivalsOf(history);
  return breaches(history, {
    promise: "rests of servers",
    words: history.rests,
    late: ({ server, atMs, restMs }, gateway) =>
      arrivals.find((arrival) =>
        arrival.server === server && arrival.gateway === gateway &&
        arrival.atMs > atMs + ON_ITS_WAY_MS && arrival.atMs < atMs + restMs
      ),
  });
}

/** Nothing that comes later reaches a server that has said to a gateway that it leaves. */
export function checkLeavingWords(history: History): Violation[] {
  const arrivals = arrivalsOf(history);
  return breaches(history, {
    promise: "leaving words of servers",
    words: history.leavingWords,
    late: ({ server, atMs }, gateway) =>
      arrivals.find((arrival) =>
        arrival.server === server && arrival.gateway === gateway &&
        arrival.sentMs > atMs + BOUNDS.drainMs
      ),
  });
}

function breaches(
  history: History,
  { promise, words, late }: {
    promise: string;
    words: readonly NoticeRecord[];
    late: (word: NoticeRecord, gateway: GatewayName) => Arrival | undefined;
  },
): Violation[] {
  const gateways = gatewaysOf(history);
  return words.flatMap((word) => {
    const gateway = gateways.get(word.attempt);
    const arrival = gateway && late(word, gateway);
    if (arrival === undefined) return [];
    const span = { gateway: arrival.gateway, fromMs: word.atMs };
    const untilMs = arrival.atMs;
    if (wasTroubled(history, { ...span, untilMs, names: EXCUSES })) return [];
    if (wasStopped(history, { ...span, untilMs })) return [];
    const afterMs = Math.round(arrival.atMs - word.atMs);
    const what = `${arrival.attempt} reached ${word.server} by ` +
      `${arrival.gateway} ${afterMs} ms after its word`;
    return [{ promise, what }];
  });
}

function gatewaysOf({ callers }: History): ReadonlyMap<string, GatewayName> {
  return new Map(callers.map(({ attempt, gateway }) => [attempt, gateway]));
}

function arrivalsOf({ callers, runs, rests }: History): Arrival[] {
  const records = new Map(callers.map((record) => [record.attempt, record]));
  return [...runs, ...rests].flatMap(({ attempt, server, atMs }) => {
    const record = records.get(attempt);
    if (record === undefined) return [];
    const { gateway, sentMs } = record;
    return [{ server, gateway, attempt, sentMs, atMs }];
  });
}
