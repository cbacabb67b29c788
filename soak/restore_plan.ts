/** Plans restores of the store from a copy, overlapping with other faults and changes. */

import type { Fault, PlannedFault } from "./fault_plan.ts";
import type { SeededRandom } from "./seeded_random.ts";
import { MAX_DISCONNECTED_MS } from "./soak_settings.ts";

/** Time from one restore to the next; the last faults of a restore have ended by then. */
const INTERVAL_MS = 2 * MAX_DISCONNECTED_MS;
const MAX_OVERLAP_MS = 1_500;
const MIN_LOST_MS = 300;
const MAX_LOST_MS = 2_000;
const MIN_AWAY_MS = 100;
const MAX_AWAY_MS = 800;
const MIN_REWRITE_MS = 50;
const MAX_REWRITE_MS = 1_200;

/**
 * Draws one restore on its own, then one beside each kind of fault that keeps gateways from seeing it
 * or makes them forget, and at last two restores in a row. Changes are lost with each.
 */
export function planRestores(
  random: SeededRandom,
  { gateways, servers }: { gateways: number; servers: number },
): PlannedFault[] {
  const gateway = () => random.integer(0, gateways - 1);
  const server = random.integer(0, servers - 1);
  const rounds: readonly Fault[][] = [
    [{ tag: "configuration" }],
    [{ tag: "kill", gateways: [gateway()] }, { tag: "key_removed" }],
    [{ tag: "store_cut", gateway: gateway() }, { tag: "configuration" }],
    [{ tag: "freeze", gateway: gateway() }, { tag: "server_leaves", server }],
    [{ tag: "planned_stop", gateway: gateway() }, { tag: "watches_stuck" }],
    [drawRestore(random), { tag: "key_removed" }],
  ];
  return rounds.flatMap((faults, round) => {
    const startMs = round * INTERVAL_MS;
    const others = faults.map((fault): PlannedFault => ({
      atMs: startMs + random.integer(0, MAX_OVERLAP_MS),
      durationMs: MAX_OVERLAP_MS,
      fault,
    }));
    const restore = {
      atMs: startMs,
      durationMs: 0,
      fault: drawRestore(random),
    };
    return [restore, ...others].sort((a, b) => a.atMs - b.atMs);
  });
}

function drawRestore(random: SeededRandom): Fault {
  return {
    tag: "restore",
    lostMs: random.integer(MIN_LOST_MS, MAX_LOST_MS),
    awayMs: random.integer(MIN_AWAY_MS, MAX_AWAY_MS),
    rewriteMs: random.integer(MIN_REWRITE_MS, MAX_REWRITE_MS),
    operatorFirst: random.fraction() < 0.5,
  };
}
