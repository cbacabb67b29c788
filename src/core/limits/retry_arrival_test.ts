/**
 * Guards against exceeding the fleet's retry bound: retries that lay unread in the socket buffers of
 * stopped servers arrive together with the retries sent once the servers resume.
 */

import process from "node:process";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  RETRY_BOUND,
  type RetryBound,
} from "../../../tests/fixtures/retry_count.ts";
import { RetryFleet } from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  runRetryScenario,
  STOP_AT_MS,
  stopServers,
} from "../../../tests/fixtures/retry_play.ts";

/** Durations for which servers are stopped. */
const STOP_DURATIONS_MS = [2_000, 12_000, 30_000];
const SERVERS = 8;

describe("retries that arrive late", () => {
  it("should stay within the bound where servers are stopped and then reject requests", () => {
    for (const stopMs of STOP_DURATIONS_MS) {
      for (const count of [SERVERS, SERVERS / 2]) {
        forEachFleet(({ vms, perS, label }) => {
          const fleet = new RetryFleet(vms);
          const step = stopServers(stopMs, count);
          runRetryScenario(fleet, {
            vms,
            perS,
            seconds: 32 + stopMs / 1_000,
            step,
          });
          assertWithinBound(fleet, `${count} for ${stopMs} ms, ${label}`);
        });
      }
    }
  });

  it("should stay within the bound where servers read first attempts after retries of the same requests", () => {
    const stopMs = 30_000;
    forEachFleet(({ vms, perS, label }) => {
      const fleet = new RetryFleet(vms);
      const stop = stopServers(stopMs, SERVERS / 2);
      const step = (_fleet: RetryFleet, nowMs: number) => {
        stop(fleet, nowMs);
        // Until then the running servers answer all requests.
        fleet.isFailing = nowMs >= STOP_AT_MS + stopMs;
      };
      runRetryScenario(fleet, { vms, perS, seconds: 60, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should stay within the bound where the request rate drops meanwhile", () => {
    for (const stopMs of STOP_DURATIONS_MS) {
      for (const fraction of [0.4, 0.25]) playRateDrop(fraction, stopMs);
    }
  });

  it("should stay within the bound where requests nearly stop meanwhile", () => {
    for (const fraction of [0.1, 0]) playRateDrop(fraction, 12_000);
  });

  it("should stay within the bound where requests nearly stop and the allowance grows with the fleet", () => {
    for (const stopMs of [12_000, 30_000]) {
      for (const fraction of [0.25, 0.1, 0]) {
        playRateDrop(fraction, stopMs, deployedBound);
      }
    }
  });

  it("should stay within the bound where stops, failures, restarts, suspensions and moves overlap", () => {
    const events = fc.array(RANDOM_EVENT, { maxLength: 12, size: "max" });
    fc.assert(
      fc.property(events, (plan) => {
        const fleet = new RetryFleet(RANDOM_VMS);
        const step = (_fleet: RetryFleet, nowMs: number) => {
          for (const event of plan) {
            if (event.atMs === nowMs) begin(fleet, event);
            if (event.atMs + event.forMs === nowMs) end(fleet, event);
          }
        };
        const moves = plan.filter(({ tag }) => tag === "move");
        const target = (at: number, nowMs: number) => {
          const move = moves.find(({ atMs, forMs }) =>
            nowMs >= atMs && nowMs < atMs + forMs
          );
          return at * (move?.count ?? RANDOM_VMS);
        };
        runRetryScenario(fleet, {
          vms: RANDOM_VMS,
          perS: RANDOM_PER_S,
          seconds: RANDOM_DURATION_S,
          step,
          target,
        });
        assertWithinBound(fleet, "random events");
      }),
      { seed: RANDOM_SEED, numRuns: RANDOM_RUNS },
    );
  });
});

/** Bound with the allowance that the users' deployments have at this size. */
function deployedBound(vms: number): RetryBound {
  return { ...RETRY_BOUND, allowance: 40 + 2 * vms };
}

/** Stops all servers and reduces the request rate to a fraction one second later. */
function playRateDrop(
  fraction: number,
  stopMs: number,
  boundOf: (vms: number) => RetryBound = () => RETRY_BOUND,
): void {
  forEachFleet(({ vms, perS, label }) => {
    const fleet = new RetryFleet(vms, { bound: boundOf(vms) });
    const rate = (nowMs: number) =>
      nowMs > STOP_AT_MS + 1_000 ? fraction * perS : perS;
    const step = stopServers(stopMs, SERVERS);
    const seconds = 32 + stopMs / 1_000;
    runRetryScenario(fleet, { vms, perS: rate, seconds, step });
    assertWithinBound(
      fleet,
      `${fraction} of the requests, ${stopMs} ms, ${label}`,
    );
  });
}

const RANDOM_VMS = 7;
const RANDOM_RUNS = Number(process.env.FIELDRACK_HISTORIES ?? 60);
const RANDOM_SEED = Number(process.env.FIELDRACK_SEED ?? 1);
const RANDOM_PER_S = 70;
const RANDOM_DURATION_S = 60;

interface RandomEvent {
  readonly tag: "stop" | "fail" | "restart" | "suspend" | "move";
  readonly atMs: number;
  readonly forMs: number;
  /** Number of servers or VMs affected. */
  readonly count: number;
}

const RANDOM_EVENT: fc.Arbitrary<RandomEvent> = fc.record({
  tag: fc.constantFrom("stop", "fail", "restart", "suspend", "move"),
  atMs: fc.nat({ max: 500 }).map((n) => n * 100),
  forMs: fc.nat({ max: 200 }).map((n) => n * 100),
  count: fc.integer({ min: 1, max: RANDOM_VMS }),
});

function begin(fleet: RetryFleet, { tag, count }: RandomEvent): void {
  if (tag === "stop") fleet.stopServers(true, count);
  if (tag === "fail") fleet.isFailing = true;
  for (let vm = 0; vm < count; vm++) {
    if (tag === "restart") fleet.restart(vm);
    if (tag === "suspend") fleet.suspend(vm, true);
  }
}

function end(fleet: RetryFleet, { tag, count }: RandomEvent): void {
  if (tag === "stop") fleet.stopServers(false, count);
  if (tag === "fail") fleet.isFailing = false;
  for (let vm = 0; tag === "suspend" && vm < count; vm++) {
    fleet.suspend(vm, false);
  }
}
