/**
 * Guards against all VMs together sending more retries to a service than the bound allows in a window
 * of 10 s, although each VM respects its own budget. Seen: 245 of 234 allowed where seven VMs were
 * killed three times while servers rejected requests; 402 of 234 where none of seven VMs reached
 * another. Causes:
 *
 * - Requests of a window earned retries that could be sent at any later time. When callers moved to
 *   other VMs, retries saved on the old VMs and earned on the new ones fell into one window: 298 of
 *   234 with pulses of failures around such moves, without restarts and with one view of the fleet.
 * - Each process started with a share of the allowance, whatever the previous process on the VM had
 *   sent, so a restarted process could send more retries than it got requests: 144 of 117 in a
 *   simulation that restarts a single VM.
 * - Each VM split the allowance among the VMs that it reached, so a VM that reached none used all of
 *   it. Reproduced by gateways that do not reach each other, without restarts.
 * - Requests that had waited for a suspended VM earned retries in a later window than the one in
 *   which they were sent: 238 of 234 in a simulation of suspensions alone.
 */

import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type IsReachable,
  RetryFleet,
} from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  runRetryScenario,
} from "../../../tests/fixtures/retry_play.ts";

/** Time between restarts. */
const RESTART_MS = 1_500;
/** Time until a started VM reaches the others. */
const REACHABLE_AFTER_MS = 500;
/** Callers leave VMs whose budgets are full, and return within one window. */
const AWAY_MS = 9_000;
const PERIOD_MS = 36_000;
const PULSE_MS = 1_500;
const SUSPEND_AT_MS = 20_000;
const RESUME_AT_MS = 26_000;

describe("retry budgets of a fleet", () => {
  it("should keep retries within the bound where VMs restart repeatedly", () => {
    forEachFleet(({ vms, perS, label }) => {
      // A VM that has just started knows no other VM for a while.
      let startedMs = 0;
      const hears = (_vm: number, _other: number, nowMs: number) =>
        nowMs - startedMs >= REACHABLE_AFTER_MS;
      const fleet = new RetryFleet(vms, { hears });
      fleet.isFailing = true;
      const step = (_fleet: RetryFleet, nowMs: number) => {
        if (nowMs < 20_000 || nowMs % RESTART_MS !== 0) return;
        startedMs = nowMs;
        for (let vm = 0; vm < vms; vm++) fleet.restart(vm);
      };
      runRetryScenario(fleet, { vms, perS, seconds: 45, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound where VMs do not reach each other", () => {
    const partitions: Record<string, IsReachable> = {
      "no VM reaches another": () => false,
      "two partitions from the start": (vm, other) => vm % 2 === other % 2,
      "no VM reaches another from 15 s on": (_vm, _other, nowMs) =>
        nowMs < 15_000,
    };
    for (const [partition, hears] of Object.entries(partitions)) {
      forEachFleet(({ vms, perS, label }) => {
        const fleet = new RetryFleet(vms, { hears });
        fleet.isFailing = true;
        runRetryScenario(fleet, { vms, perS, seconds: 35, step: () => {} });
        assertWithinBound(fleet, `${partition}, ${label}`);
      });
    }
  });

  it("should keep retries within the bound where callers move between VMs and servers fail in pulses", () => {
    forEachFleet(({ vms, perS, label }) => {
      const shape = { lastsMs: 8_000, retries: 2 };
      const fleet = new RetryFleet(vms, { shape });
      const half = Math.ceil(vms / 2);
      const isAway = (nowMs: number) =>
        nowMs % PERIOD_MS >= PERIOD_MS - AWAY_MS;
      const target = (position: number, nowMs: number) =>
        vms > 1 && isAway(nowMs)
          ? position * half
          : vms - half + position * half;
      const step = (_fleet: RetryFleet, nowMs: number) => {
        // Servers fail in pulses that start one second before callers move.
        fleet.isFailing = isAway(nowMs + 1_000) !== isAway(nowMs) ||
          isAway(nowMs - PULSE_MS + 1_000) !== isAway(nowMs);
      };
      runRetryScenario(fleet, { vms, perS, seconds: 85, step, target });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound after VMs were suspended", () => {
    forEachFleet(({ vms, perS, label }) => {
      const shape = { lastsMs: 8_000, retries: 2 };
      const fleet = new RetryFleet(vms, { shape });
      const step = (_fleet: RetryFleet, nowMs: number) => {
        if (nowMs === SUSPEND_AT_MS || nowMs === RESUME_AT_MS) {
          const isSuspended = nowMs === SUSPEND_AT_MS;
          for (let vm = 1; vm < vms; vm++) fleet.suspend(vm, isSuspended);
        }
        // By then, requests sent to the suspended VMs are as old as a window.
        fleet.isFailing = nowMs >= RESUME_AT_MS + AWAY_MS;
      };
      runRetryScenario(fleet, { vms, perS, seconds: 45, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound for any sequence of events", () => {
    fc.assert(
      fc.property(
        fc.array(FLEET_EVENT, { maxLength: 60, size: "max" }),
        (events) => {
          const fleet = new RetryFleet(RANDOM_VMS);
          for (const event of events) apply(fleet, event);
          assertWithinBound(fleet, "random events");
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });
});

const RANDOM_VMS = 7;

type FleetEvent =
  | { readonly tag: "wait"; readonly ms: number }
  | { readonly tag: "requests"; readonly vm: number; readonly count: number }
  | { readonly tag: "servers"; readonly areFailing: boolean }
  | { readonly tag: "restart"; readonly vm: number }
  | {
    readonly tag: "suspend";
    readonly vm: number;
    readonly isSuspended: boolean;
  };

const VM = fc.nat({ max: RANDOM_VMS - 1 });
const FLEET_EVENT: fc.Arbitrary<FleetEvent> = fc.oneof(
  { weight: 8, arbitrary: eventOf("wait", { ms: fc.nat({ max: 3_000 }) }) },
  {
    weight: 12,
    arbitrary: eventOf("requests", { vm: VM, count: fc.nat({ max: 200 }) }),
  },
  {
    weight: 6,
    arbitrary: eventOf("servers", { areFailing: fc.boolean() }),
  },
  { weight: 3, arbitrary: eventOf("restart", { vm: VM }) },
  {
    weight: 2,
    arbitrary: eventOf("suspend", { vm: VM, isSuspended: fc.boolean() }),
  },
);

function eventOf<Tag extends string, Fields>(
  tag: Tag,
  fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]> },
): fc.Arbitrary<{ tag: Tag } & Fields> {
  return fc.record(fields).map((values) => ({ tag, ...values }) as never);
}

function apply(fleet: RetryFleet, event: FleetEvent): void {
  switch (event.tag) {
    case "wait":
      return fleet.advance(event.ms);
    case "requests":
      for (let n = 0; n < event.count; n++) fleet.request(event.vm);
      return fleet.advance(1);
    case "servers":
      fleet.isFailing = event.areFailing;
      return;
    case "restart":
      return fleet.restart(event.vm);
    case "suspend":
      return fleet.suspend(event.vm, event.isSuspended);
  }
}
