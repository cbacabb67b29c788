/**
 * Many VMs before servers of a data centre that come back together, cold. Seen before: "cold
 * server got 26 requests in one second; allowed 24.5", as each VM by itself found the servers
 * that had nothing to do the best. Figures of the pattern are those of the users' shifted
 * deployment: 65 VMs, 26 of 78 servers cold for 3 s, which bear 13 requests a second and may
 * get 1.5 times as many and 5 more.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededChance } from "../../../tests/fixtures/seeded_chance.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { EntryId, InstanceId } from "../ids.ts";
import { ColdAdmission } from "./cold_admission.ts";

const VMS = 65;
const SERVERS = 26;
const WARMUP = { durationMs: 3_000, requestsPerSecond: 13 };
const MOST_IN_A_SECOND = 24.5;
/** Long enough that VMs know each other; their clocks start there. */
const SETTLED_MS = 5_000;
const STEP_MS = 10;

const IDS = Array.from({ length: VMS }, (_, at) => `edge-${at}` as EntryId);
const INSTANCES = Array.from(
  { length: SERVERS },
  (_, at) => `i-${at}` as InstanceId,
);

/** A VM that started `ageMs` before the servers turned cold. */
function vm(
  id: EntryId,
  { known = IDS, ageMs = SETTLED_MS, isAlone = false }: {
    known?: readonly EntryId[];
    ageMs?: number;
    isAlone?: boolean;
  } = {},
): ColdAdmission {
  return new ColdAdmission({
    memberTable: {
      self: { id },
      everyone: () => known.map((other) => ({ id: other })),
    },
    fleetSize: { isAlone },
    unitHash,
    clock: { monotonicMs: () => -ageMs },
  });
}

/**
 * Lets each VM send all that it may while the servers are cold, in an order drawn anew for
 * each step; returns the requests of each server by time.
 */
function press(
  vms: readonly ColdAdmission[],
  chance: () => number,
): number[][] {
  const sent: number[][] = INSTANCES.map(() => []);
  for (let nowMs = 0; nowMs < WARMUP.durationMs; nowMs += STEP_MS) {
    for (const admission of vms) {
      const at = Math.floor(chance() * SERVERS);
      for (const offset of INSTANCES.keys()) {
        const server = (at + offset) % SERVERS;
        const instance = INSTANCES[server] as InstanceId;
        if (!admission.canSend(instance, { warmup: WARMUP, nowMs })) continue;
        admission.recordSent(instance, nowMs);
        sent[server]?.push(nowMs);
        break;
      }
    }
  }
  return sent;
}

function mostInASecond(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

function busiest(sent: readonly number[][]): number {
  return Math.max(...sent.map(mostInASecond));
}

describe("admission to cold servers", () => {
  it("should bound what all VMs together send to a server in any second", () => {
    const vms = IDS.map((id) => vm(id));
    const sent = press(vms, seededChance(1));
    assert.ok(busiest(sent) <= WARMUP.requestsPerSecond, `${busiest(sent)}`);
    // And give it nearly what it bears, where there is so much to do.
    for (const times of sent) assert.ok(times.length >= 24, `${times.length}`);
  });

  it("should hold where each VM misses a tenth of the others", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const chance = seededChance(seed);
      const vms = IDS.map((id) =>
        vm(id, {
          known: IDS.filter((other) => other === id || chance() > 0.1),
        })
      );
      const most = busiest(press(vms, chance));
      assert.ok(most <= MOST_IN_A_SECOND, `seed ${seed}: ${most}`);
    }
  });

  it("should hold where VMs have been added that few know yet", () => {
    const known = IDS.slice(0, VMS - 10);
    const vms = IDS.map((id, at) => vm(id, { known: at % 2 ? IDS : known }));
    const most = busiest(press(vms, seededChance(1)));
    assert.ok(most <= MOST_IN_A_SECOND, `${most}`);
  });

  it("should hold where all VMs start at once and know nobody", () => {
    const vms = IDS.map((id) => vm(id, { known: [id], ageMs: 0 }));
    assert.equal(busiest(press(vms, seededChance(1))), 0);
  });

  it("should hold where half of the VMs have started within the second", () => {
    const vms = IDS.map((id, at) =>
      at % 2 === 0 ? vm(id) : vm(id, { known: [id], ageMs: 500 })
    );
    const most = busiest(press(vms, seededChance(1)));
    assert.ok(most <= MOST_IN_A_SECOND, `${most}`);
  });

  it("should hold where no VM hears another for long", () => {
    // Each took itself for an owner of all servers once it had settled: 130 in a second.
    const vms = IDS.map((id) => vm(id, { known: [id], isAlone: true }));
    const most = busiest(press(vms, seededChance(1)));
    assert.ok(most <= MOST_IN_A_SECOND, `${most}`);
  });

  it("should let a lone VM use its servers", () => {
    const id = IDS[0] as EntryId;
    const sent = press([vm(id, { known: [id] })], seededChance(1));
    assert.ok(busiest(sent) > 0);
  });

  it("should give at least one request to a server that bears less than there are owners", () => {
    const slow = { durationMs: 3_000, requestsPerSecond: 2 };
    const takers = IDS.map((id) => vm(id)).filter((admission) =>
      admission.canSend(INSTANCES[0] as InstanceId, { warmup: slow, nowMs: 0 })
    );
    assert.equal(takers.length, 2);
  });
});
