/** Guards against retries beyond the fleet's budget that lay unread and arrive together with those of now. */

import process from "node:process";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RetryFleet } from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  playRetries,
} from "../../../tests/fixtures/retry_play.ts";

/** How long servers are stopped. */
const STOPS_MS = [2_000, 12_000, 30_000];
const STOPPED_MS = 15_000;
const SERVERS = 8;

describe("retries that arrive late", () => {
  it("should stay within the bound where servers are stopped and then reject", () => {
    for (const stopMs of STOPS_MS) {
      for (const count of [SERVERS, SERVERS / 2]) {
        forEachFleet(({ vms, perS, label }) => {
          const fleet = new RetryFleet(vms);
          const step = stopServers(stopMs, count);
          playRetries(fleet, { vms, perS, seconds: 32 + stopMs / 1_000, step });
          assertWithinBound(fleet, `${count} for ${stopMs} ms, ${label}`);
        });
      }
    }
  });

  it("should stay within the bound where first attempts are read after others of their requests", () => {
    const stopMs = 30_000;
    forEachFleet(({ vms, perS, label }) => {
      const fleet = new RetryFleet(vms);
      const stop = stopServers(stopMs, SERVERS / 2);
      const step = (_fleet: RetryFleet, nowMs: number) => {
        stop(fleet, nowMs);
        // Until then the servers that run serve all that comes.
        fleet.isFailing = nowMs >= STOPPED_MS + stopMs;
      };
      playRetries(fleet, { vms, perS, seconds: 60, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should stay within the bound where requests become fewer meanwhile", () => {
    for (const stopMs of STOPS_MS) {
      for (const part of [0.4, 0.25]) playFall(part, stopMs);
    }
  });

  it("should stay within the bound where requests nearly stop meanwhile", () => {
    for (const part of [0.1, 0]) playFall(part, 12_000);
  });

  it("should stay within the bound where stops, failures, restarts, suspensions and moves overlap", () => {
    const events = fc.array(DRAWN_EVENT, { maxLength: 12, size: "max" });
    fc.assert(
      fc.property(events, (drawn) => {
        const fleet = new RetryFleet(DRAWN_VMS);
        const step = (_fleet: RetryFleet, nowMs: number) => {
          for (const event of drawn) {
            if (event.atMs === nowMs) begin(fleet, event);
            if (event.atMs + event.forMs === nowMs) end(fleet, event);
          }
        };
        const moves = drawn.filter(({ tag }) => tag === "move");
        const target = (at: number, nowMs: number) => {
          const move = moves.find(({ atMs, forMs }) =>
            nowMs >= atMs && nowMs < atMs + forMs
          );
          return at * (move?.count ?? DRAWN_VMS);
        };
        playRetries(fleet, {
          vms: DRAWN_VMS,
          perS: DRAWN_PER_S,
          seconds: DRAWN_S,
          step,
          target,
        });
        assertWithinBound(fleet, "drawn");
      }),
      { seed: DRAWN_SEED, numRuns: DRAWN_RUNS },
    );
  });
});

/** All servers are stopped, and a part of the requests is left a second later. */
function playFall(part: number, stopMs: number): void {
  forEachFleet(({ vms, perS, label }) => {
    const fleet = new RetryFleet(vms);
    const rate = (nowMs: number) =>
      nowMs > STOPPED_MS + 1_000 ? part * perS : perS;
    const step = stopServers(stopMs, SERVERS);
    const seconds = 32 + stopMs / 1_000;
    playRetries(fleet, { vms, perS: rate, seconds, step });
    assertWithinBound(fleet, `${part} left, ${stopMs} ms, ${label}`);
  });
}

/** Stops servers for a while; those that run reject each request from then on. */
function stopServers(stopMs: number, count: number) {
  return (fleet: RetryFleet, nowMs: number) => {
    if (nowMs === STOPPED_MS) {
      fleet.isFailing = true;
      fleet.stopServers(true, count);
    }
    if (nowMs === STOPPED_MS + stopMs) fleet.stopServers(false, count);
  };
}

const DRAWN_VMS = 7;
const DRAWN_RUNS = Number(process.env.FIELDRACK_HISTORIES ?? 60);
const DRAWN_SEED = Number(process.env.FIELDRACK_SEED ?? 1);
const DRAWN_PER_S = 70;
const DRAWN_S = 60;

interface DrawnEvent {
  readonly tag: "stop" | "fail" | "restart" | "suspend" | "move";
  readonly atMs: number;
  readonly forMs: number;
  /** Servers, VMs. */
  readonly count: number;
}

const DRAWN_EVENT: fc.Arbitrary<DrawnEvent> = fc.record({
  tag: fc.constantFrom("stop", "fail", "restart", "suspend", "move"),
  atMs: fc.nat({ max: 500 }).map((n) => n * 100),
  forMs: fc.nat({ max: 200 }).map((n) => n * 100),
  count: fc.integer({ min: 1, max: DRAWN_VMS }),
});

function begin(fleet: RetryFleet, { tag, count }: DrawnEvent): void {
  if (tag === "stop") fleet.stopServers(true, count);
  if (tag === "fail") fleet.isFailing = true;
  for (let vm = 0; vm < count; vm++) {
    if (tag === "restart") fleet.restart(vm);
    if (tag === "suspend") fleet.suspend(vm, true);
  }
}

function end(fleet: RetryFleet, { tag, count }: DrawnEvent): void {
  if (tag === "stop") fleet.stopServers(false, count);
  if (tag === "fail") fleet.isFailing = false;
  for (let vm = 0; tag === "suspend" && vm < count; vm++) {
    fleet.suspend(vm, false);
  }
}
