/** Checks what must hold for a request that ends servers, and for all others beside it. */

import type { History } from "./history.ts";
import { CONTACT_MS, POISON_LIMIT } from "./soak_settings.ts";
import { type Violation, violation, wasTroubled } from "./violation.ts";

/** How a gateway refuses a request that crashes servers, before or after a run of its own. */
const POISON_REFUSAL = /"crashes_servers"|servers have ended while they ran it/;

/** Once three servers have ended under a request and all gateways know, none sends it. */
export function checkPoison(
  { poisonedServers, poisonCallers, runs, ...history }: History,
): Violation[] {
  const third = poisonedServers[POISON_LIMIT - 1];
  if (third === undefined) return [];
  const callers = new Map(poisonCallers.map((one) => [one.attempt, one]));
  return runs
    .filter(({ poison, atMs }) => poison && atMs > third.atMs + CONTACT_MS)
    .flatMap(({ attempt, server, atMs }) => {
      const record = callers.get(attempt);
      if (record === undefined) return [];
      const { gateway, sentMs } = record;
      const span = { gateway, fromMs: sentMs, untilMs: atMs };
      if (wasTroubled(history, span)) return [];
      return [violation("crashing requests", record, `ran at ${server}`)];
    });
}

/** Only the request that ends servers is taken for it. */
export function checkInnocents({ callers }: History): Violation[] {
  return callers
    .filter(({ ending }) =>
      ending.tag === "answered" && POISON_REFUSAL.test(ending.body)
    )
    .map((record) =>
      violation("innocent requests", record, "was taken to crash servers")
    );
}
