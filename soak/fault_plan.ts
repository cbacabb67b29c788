/** Which faults are injected, and when: a list that a seed repeats. */

import type { Draw } from "./draw.ts";
import type { ServerMode } from "./soak_server.ts";
import { COUNT_WINDOW_MS } from "../tests/fixtures/limit_count.ts";
import { BOUNDS, CONTACT_MS } from "./soak_settings.ts";

/** One fault. Gateways and servers are told by their number. */
export type Fault =
  | { readonly tag: "kill"; readonly gateways: readonly number[] }
  | { readonly tag: "planned_stop"; readonly gateway: number }
  | { readonly tag: "freeze"; readonly gateway: number }
  | { readonly tag: "reload"; readonly gateway: number }
  | { readonly tag: "store_cut"; readonly gateway: number }
  | { readonly tag: "store_reset"; readonly gateway: number }
  | { readonly tag: "store_down" }
  | { readonly tag: "store_slow" }
  | { readonly tag: "store_loses_answers" }
  | { readonly tag: "watches_stuck" }
  | { readonly tag: "history_forgotten" }
  | { readonly tag: "servers_lapse" }
  | {
    readonly tag: "server";
    readonly server: number;
    readonly mode: ServerMode;
  }
  | { readonly tag: "server_crash"; readonly server: number }
  | { readonly tag: "server_leaves"; readonly server: number }
  | { readonly tag: "server_says_it_leaves"; readonly server: number }
  | { readonly tag: "configuration" }
  | { readonly tag: "key_removed" }
  | {
    readonly tag: "evacuation";
    /** Whether the watches of the store tell nothing of the order. */
    readonly unwatched?: boolean;
  };

/** A fault in its place and time. */
export interface PlannedFault {
  readonly atMs: number;
  /** How long it lasts, where it lasts. */
  readonly forMs: number;
  readonly fault: Fault;
}

/** Names of all faults; misbehaving servers come in several modes, and so more often. */
const FAULTS: readonly Fault["tag"][] = [
  "server",
  "server",
  "kill",
  "planned_stop",
  "freeze",
  "reload",
  "store_cut",
  "store_reset",
  "store_down",
  "store_slow",
  "store_loses_answers",
  "watches_stuck",
  "history_forgotten",
  "servers_lapse",
  "server",
  "server_crash",
  "server_leaves",
  "configuration",
  "key_removed",
];
const MODES: readonly ServerMode[] = [
  "resets",
  "silent",
  "full",
  "crossed",
  "cuts",
];
/** Pauses between faults; shorter than most faults last, so that they overlap. */
const LEAST_PAUSE_MS = 150;
const MOST_PAUSE_MS = 900;
/** Keys that are removed under answers that break off; enough that some caller is hit. */
const REMOVALS = 4;
/** Time in which callers' requests reach the server that holds them back. */
const BEFORE_REMOVAL_MS = 250;
const LEAST_TIME_MS = 400;
/** Time in which servers ask for rest: several rests follow each other. */
const NOTICE_MS = 5_000;
const MOST_TIME_MS = 3_500;
const RESTARTS = 4;
const BETWEEN_RESTARTS_MS = 2_500;

/** Draws the faults of a run. */
export function planFaults(
  draw: Draw,
  { runMs, gateways, servers }: {
    runMs: number;
    gateways: number;
    servers: number;
  },
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = draw.whole(LEAST_PAUSE_MS, MOST_PAUSE_MS);
  while (atMs < runMs) {
    const forMs = draw.whole(LEAST_TIME_MS, MOST_TIME_MS);
    plan.push({ atMs, forMs, fault: drawFault(draw, { gateways, servers }) });
    atMs += draw.whole(LEAST_PAUSE_MS, MOST_PAUSE_MS);
  }
  return plan;
}

/** Planned work without any fault beside it, after which nothing excuses a breach. */
export function planCalmChanges(
  draw: Draw,
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const gateway = draw.whole(0, gateways - 1);
  const server = draw.whole(0, servers - 1);
  const faults: Fault[] = [
    { tag: "server_leaves", server },
    { tag: "key_removed" },
    { tag: "planned_stop", gateway },
    { tag: "configuration" },
  ];
  return faults.map((fault, at) => ({
    atMs: at * MOST_PAUSE_MS,
    forMs: LEAST_TIME_MS,
    fault,
  }));
}

/**
 * Keys are removed one after the other while a server holds answers back that it then
 * breaks off: another one each time, as gateways avoid servers that broke answers off.
 */
export function planBrokenAnswers(
  { servers }: { servers: number },
): PlannedFault[] {
  return Array.from({ length: REMOVALS }, (_, at): PlannedFault[] => [
    {
      atMs: at * MOST_PAUSE_MS,
      forMs: LEAST_TIME_MS,
      fault: { tag: "server", server: at % servers, mode: "stalls" },
    },
    {
      atMs: at * MOST_PAUSE_MS + BEFORE_REMOVAL_MS,
      forMs: LEAST_TIME_MS,
      fault: { tag: "key_removed" },
    },
  ]).flat();
}

/**
 * A key is removed while the store answers no gateway, for longer than a removed key may
 * still open anything. A server breaks answers off around the time at which gateways no
 * longer take keys as confirmed.
 */
export function planUnseenRemoval(): PlannedFault[] {
  return [
    { atMs: 0, forMs: 2 * BOUNDS.keyRemovalMs, fault: { tag: "store_down" } },
    {
      atMs: LEAST_PAUSE_MS,
      forMs: LEAST_TIME_MS,
      fault: { tag: "key_removed" },
    },
    {
      atMs: BOUNDS.keyRemovalMs / 2,
      forMs: BOUNDS.keyRemovalMs / 2,
      fault: { tag: "server", server: 0, mode: "stalls" },
    },
  ];
}

/**
 * All servers are evacuated for longer than news of it may take, and come back cold; then again
 * while watches tell nothing of the order. Drawn for no seed: what seeds of old have shown must
 * stay as it was.
 */
export function planEvacuation(): PlannedFault[] {
  const forMs = 2 * BOUNDS.evacuationMs;
  const fault = { tag: "evacuation" } as const;
  return [
    { atMs: 0, forMs, fault },
    { atMs: 2 * forMs, forMs, fault: { ...fault, unwatched: true } },
  ];
}

/**
 * All servers but one ask for rest again and again, and that one says that it leaves; a gateway
 * is frozen and another one stopped beside it. Drawn for no seed, as above.
 */
export function planNotices(
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const resting = Array.from({ length: servers - 1 }, (_, server) => ({
    atMs: 0,
    forMs: NOTICE_MS,
    fault: { tag: "server", server, mode: "rests" } as const,
  }));
  const leaving = {
    atMs: LEAST_TIME_MS,
    forMs: NOTICE_MS + 2 * BOUNDS.drainMs,
    fault: { tag: "server_says_it_leaves", server: servers - 1 } as const,
  };
  const frozen = {
    atMs: MOST_PAUSE_MS,
    forMs: LEAST_TIME_MS,
    fault: { tag: "freeze", gateway: gateways - 1 } as const,
  };
  const stopped = {
    atMs: NOTICE_MS / 2,
    forMs: 0,
    fault: { tag: "planned_stop", gateway: 0 } as const,
  };
  return [...resting, leaving, frozen, stopped];
}

/**
 * Half of the servers name a limit, for twice the time over which it is counted; a gateway is frozen
 * and another one stopped beside it. Drawn for no seed, as above.
 */
export function planLimits(
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const limited = Array.from(
    { length: Math.ceil(servers / 2) },
    (_, server) => ({
      atMs: 0,
      forMs: CONTACT_MS + 2 * COUNT_WINDOW_MS,
      fault: { tag: "server", server, mode: "limits" } as const,
    }),
  );
  const frozen = {
    atMs: CONTACT_MS,
    forMs: LEAST_TIME_MS,
    fault: { tag: "freeze", gateway: gateways - 1 } as const,
  };
  const stopped = {
    atMs: CONTACT_MS + MOST_PAUSE_MS,
    forMs: 0,
    fault: { tag: "planned_stop", gateway: 0 } as const,
  };
  return [...limited, frozen, stopped];
}

/**
 * All gateways are killed again and again, each time as soon as they serve: what each life of a process
 * may send adds up. Drawn for no seed, as above.
 */
export function planRestarts(
  { gateways }: { gateways: number },
): PlannedFault[] {
  const all = Array.from({ length: gateways }, (_, at) => at);
  return Array.from({ length: RESTARTS }, (_, at) => ({
    atMs: at * BETWEEN_RESTARTS_MS,
    forMs: 0,
    fault: { tag: "kill", gateways: all },
  }));
}

/**
 * Beside a request that ends servers: a gateway that is killed, and one that is frozen, once
 * all gateways know of it. Drawn for no seed, as above.
 */
export function planPoison(
  { gateways }: { gateways: number },
): PlannedFault[] {
  const frozen = gateways - 1;
  return [
    { atMs: CONTACT_MS, forMs: 0, fault: { tag: "kill", gateways: [0] } },
    {
      atMs: CONTACT_MS,
      forMs: LEAST_TIME_MS,
      fault: { tag: "freeze", gateway: frozen },
    },
  ];
}

function drawFault(
  draw: Draw,
  { gateways, servers }: { gateways: number; servers: number },
): Fault {
  const tag = draw.one(FAULTS);
  const gateway = draw.whole(0, gateways - 1);
  const server = draw.whole(0, servers - 1);
  switch (tag) {
    case "kill":
      return { tag, gateways: drawSome(draw, gateways) };
    case "planned_stop":
    case "freeze":
    case "reload":
    case "store_cut":
    case "store_reset":
      return { tag, gateway };
    case "server":
      return { tag, server, mode: draw.one(MODES) };
    case "server_crash":
    case "server_leaves":
    case "server_says_it_leaves":
      return { tag, server };
    default:
      return { tag };
  }
}

/** One gateway, some, or at times all. */
function drawSome(draw: Draw, gateways: number): number[] {
  const share = draw.one([0, 0, 0.5, 1]);
  const all = Array.from({ length: gateways }, (_, at) => at);
  const some = all.filter(() => draw.unit() < share);
  return some.length > 0 ? some : [draw.whole(0, gateways - 1)];
}
