/** Plans which faults are injected and when; a seed reproduces its plan. */

import type { CutManner } from "../tests/fixtures/cuttable_connector.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { ServerMode } from "./soak_server.ts";
import { COUNT_WINDOW_MS } from "../tests/fixtures/limit_count.ts";
import { BOUNDS, MAX_DISCONNECTED_MS } from "./soak_settings.ts";

/** One fault. Gateways and servers are identified by index. */
export type Fault =
  | { readonly tag: "kill"; readonly gateways: readonly number[] }
  | { readonly tag: "planned_stop"; readonly gateway: number }
  | { readonly tag: "freeze"; readonly gateway: number }
  | { readonly tag: "reload"; readonly gateway: number }
  | { readonly tag: "store_cut"; readonly gateway: number }
  | {
    /** All links to servers are cut. */
    readonly tag: "servers_cut";
    readonly gateways: readonly number[];
    readonly manner: CutManner;
  }
  | { readonly tag: "store_reset"; readonly gateway: number }
  | { readonly tag: "store_down" }
  | { readonly tag: "store_slow" }
  | { readonly tag: "store_loses_answers" }
  | { readonly tag: "watches_stuck" }
  | { readonly tag: "history_forgotten" }
  | {
    /** The store loses what was written in `lostMs`, and is away for `awayMs`. */
    readonly tag: "restore";
    readonly lostMs: number;
    readonly awayMs: number;
    /** Time until the operator and the servers write again. */
    readonly rewriteMs: number;
    readonly operatorFirst: boolean;
  }
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
    /** Whether watches of the store do not report the evacuation order. */
    readonly unwatched?: boolean;
  };

/** A fault with its start time. */
export interface PlannedFault {
  readonly atMs: number;
  /** Duration of the fault; ignored by faults that have none. */
  readonly durationMs: number;
  readonly fault: Fault;
}

/** Tags to draw from; "server" is repeated, as its faults come in several modes. */
const FAULT_TAGS: readonly Fault["tag"][] = [
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
const SERVER_MODES: readonly ServerMode[] = [
  "resets",
  "silent",
  "full",
  "crossed",
  "cuts",
];
const CUT_MANNERS: readonly CutManner[] = ["hang", "reset", "refuse_new"];
/** Pauses between faults are shorter than most faults last, so that faults overlap. */
const MIN_PAUSE_MS = 150;
const MAX_PAUSE_MS = 900;
/** Number of keys removed while responses are aborted; enough that some caller is affected. */
const KEY_REMOVALS = 4;
/** Time for callers' requests to reach the server that delays its responses. */
const KEY_REMOVAL_DELAY_MS = 250;
const MIN_FAULT_MS = 400;
/** Time in which servers request backoff; long enough for several backoffs in a row. */
const BACKOFF_PHASE_MS = 5_000;
const MAX_FAULT_MS = 3_500;
/** Time in which requests during a cut are compared. */
const CUT_COUNTED_MS = 3_000;
const RESTART_COUNT = 4;
const RESTART_INTERVAL_MS = 2_500;

/** Draws the faults of a run. */
export function planFaults(
  random: SeededRandom,
  { runMs, gateways, servers }: {
    runMs: number;
    gateways: number;
    servers: number;
  },
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = random.integer(MIN_PAUSE_MS, MAX_PAUSE_MS);
  while (atMs < runMs) {
    const durationMs = random.integer(MIN_FAULT_MS, MAX_FAULT_MS);
    plan.push({
      atMs,
      durationMs,
      fault: drawFault(random, { gateways, servers }),
    });
    atMs += random.integer(MIN_PAUSE_MS, MAX_PAUSE_MS);
  }
  return plan;
}

/** Planned changes without concurrent faults, so that no fault excuses a violation. */
export function planFaultFreeChanges(
  random: SeededRandom,
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const gateway = random.integer(0, gateways - 1);
  const server = random.integer(0, servers - 1);
  const faults: Fault[] = [
    { tag: "server_leaves", server },
    { tag: "key_removed" },
    { tag: "planned_stop", gateway },
    { tag: "configuration" },
  ];
  return faults.map((fault, index) => ({
    atMs: index * MAX_PAUSE_MS,
    durationMs: MIN_FAULT_MS,
    fault,
  }));
}

/**
 * Removes keys one after the other while a server delays responses that it then aborts. Each
 * removal uses another server, as gateways avoid servers that aborted responses.
 */
export function planAbortedResponses(
  { servers }: { servers: number },
): PlannedFault[] {
  return Array.from({ length: KEY_REMOVALS }, (_, index): PlannedFault[] => [
    {
      atMs: index * MAX_PAUSE_MS,
      durationMs: MIN_FAULT_MS,
      fault: { tag: "server", server: index % servers, mode: "stalls" },
    },
    {
      atMs: index * MAX_PAUSE_MS + KEY_REMOVAL_DELAY_MS,
      durationMs: MIN_FAULT_MS,
      fault: { tag: "key_removed" },
    },
  ]).flat();
}

/**
 * Removes a key while the store answers no gateway, for longer than a removed key may still be
 * accepted. A server aborts responses around the time at which gateways stop treating their keys
 * as confirmed.
 */
export function planKeyRemovalDuringOutage(): PlannedFault[] {
  return [
    {
      atMs: 0,
      durationMs: 2 * BOUNDS.keyRemovalMs,
      fault: { tag: "store_down" },
    },
    {
      atMs: MIN_PAUSE_MS,
      durationMs: MIN_FAULT_MS,
      fault: { tag: "key_removed" },
    },
    {
      atMs: BOUNDS.keyRemovalMs / 2,
      durationMs: BOUNDS.keyRemovalMs / 2,
      fault: { tag: "server", server: 0, mode: "stalls" },
    },
  ];
}

/**
 * Evacuates all servers for longer than the order may take to propagate, after which they return
 * cold; then repeats this while watches do not report the order. Not drawn from the seed, so that
 * existing seeds keep the faults that they reproduce.
 */
export function planEvacuation(): PlannedFault[] {
  const durationMs = 2 * BOUNDS.evacuationMs;
  const fault = { tag: "evacuation" } as const;
  return [
    { atMs: 0, durationMs, fault },
    { atMs: 2 * durationMs, durationMs, fault: { ...fault, unwatched: true } },
  ];
}

/**
 * All servers but one request backoff repeatedly, and the last one advertises that it is draining;
 * meanwhile one gateway is frozen and another one stopped. Not drawn from the seed, for the same
 * reason as `planEvacuation`.
 */
export function planServerNotices(
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const backingOff = Array.from({ length: servers - 1 }, (_, server) => ({
    atMs: 0,
    durationMs: BACKOFF_PHASE_MS,
    fault: { tag: "server", server, mode: "rests" } as const,
  }));
  const draining = {
    atMs: MIN_FAULT_MS,
    durationMs: BACKOFF_PHASE_MS + 2 * BOUNDS.drainMs,
    fault: { tag: "server_says_it_leaves", server: servers - 1 } as const,
  };
  const frozen = {
    atMs: MAX_PAUSE_MS,
    durationMs: MIN_FAULT_MS,
    fault: { tag: "freeze", gateway: gateways - 1 } as const,
  };
  const stopped = {
    atMs: BACKOFF_PHASE_MS / 2,
    durationMs: 0,
    fault: { tag: "planned_stop", gateway: 0 } as const,
  };
  return [...backingOff, draining, frozen, stopped];
}

/**
 * Half of the servers advertise a rate limit, for twice the time span over which requests are
 * counted; meanwhile one gateway is frozen and another one stopped. Not drawn from the seed, for
 * the same reason as `planEvacuation`.
 */
export function planLimits(
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const limited = Array.from(
    { length: Math.ceil(servers / 2) },
    (_, server) => ({
      atMs: 0,
      durationMs: MAX_DISCONNECTED_MS + 2 * COUNT_WINDOW_MS,
      fault: { tag: "server", server, mode: "limits" } as const,
    }),
  );
  const frozen = {
    atMs: MAX_DISCONNECTED_MS,
    durationMs: MIN_FAULT_MS,
    fault: { tag: "freeze", gateway: gateways - 1 } as const,
  };
  const stopped = {
    atMs: MAX_DISCONNECTED_MS + MAX_PAUSE_MS,
    durationMs: 0,
    fault: { tag: "planned_stop", gateway: 0 } as const,
  };
  return [...limited, frozen, stopped];
}

/**
 * Cuts the links from more than half of the gateways to all servers, then from others in another
 * manner, while the configuration changes. Not drawn from the seed, for the same reason as
 * `planEvacuation`.
 */
export function planServersCut(
  { gateways }: { gateways: number },
): PlannedFault[] {
  const all = Array.from({ length: gateways }, (_, index) => index);
  const durationMs = MAX_DISCONNECTED_MS + CUT_COUNTED_MS;
  const most = all.slice(0, Math.ceil(gateways / 2));
  const some = all.slice(-Math.floor(gateways / 2));
  return [
    {
      atMs: 0,
      durationMs,
      fault: { tag: "servers_cut", gateways: most, manner: "hang" },
    },
    { atMs: durationMs / 2, durationMs: 0, fault: { tag: "configuration" } },
    {
      atMs: durationMs + MAX_PAUSE_MS,
      durationMs,
      fault: { tag: "servers_cut", gateways: some, manner: "reset" },
    },
  ];
}

/**
 * Kills all gateways repeatedly, each time once they serve again: what each incarnation of a process
 * may send adds up. Not drawn from the seed, for the same reason as `planEvacuation`.
 */
export function planRestarts(
  { gateways }: { gateways: number },
): PlannedFault[] {
  const all = Array.from({ length: gateways }, (_, index) => index);
  return Array.from({ length: RESTART_COUNT }, (_, index) => ({
    atMs: index * RESTART_INTERVAL_MS,
    durationMs: 0,
    fault: { tag: "kill", gateways: all },
  }));
}

/**
 * While a poison request is sent: kills one gateway and freezes another, once all gateways have
 * learnt of the request. Not drawn from the seed, for the same reason as `planEvacuation`.
 */
export function planPoison(
  { gateways }: { gateways: number },
): PlannedFault[] {
  const frozen = gateways - 1;
  return [
    {
      atMs: MAX_DISCONNECTED_MS,
      durationMs: 0,
      fault: { tag: "kill", gateways: [0] },
    },
    {
      atMs: MAX_DISCONNECTED_MS,
      durationMs: MIN_FAULT_MS,
      fault: { tag: "freeze", gateway: frozen },
    },
  ];
}

function drawFault(
  random: SeededRandom,
  { gateways, servers }: { gateways: number; servers: number },
): Fault {
  const tag = random.pick(FAULT_TAGS);
  const gateway = random.integer(0, gateways - 1);
  const server = random.integer(0, servers - 1);
  switch (tag) {
    case "kill":
      return { tag, gateways: drawGateways(random, gateways) };
    case "planned_stop":
    case "freeze":
    case "reload":
    case "store_cut":
    case "store_reset":
      return { tag, gateway };
    case "server":
      return { tag, server, mode: random.pick(SERVER_MODES) };
    case "server_crash":
    case "server_leaves":
    case "server_says_it_leaves":
      return { tag, server };
    case "servers_cut": {
      const manner = random.pick(CUT_MANNERS);
      return { tag, gateways: drawGateways(random, gateways), manner };
    }
    case "restore":
      throw new Error("Restores are planned separately");
    default:
      return { tag };
  }
}

/** Draws one gateway, several, or sometimes all. */
function drawGateways(random: SeededRandom, gateways: number): number[] {
  const share = random.pick([0, 0, 0.5, 1]);
  const all = Array.from({ length: gateways }, (_, index) => index);
  const some = all.filter(() => random.fraction() < share);
  return some.length > 0 ? some : [random.integer(0, gateways - 1)];
}
