/**
 * Servers got more retries in ten seconds from all VMs together than are allowed: 245 of 234 where
 * seven VMs were killed three times beside servers that turned requests away, 402 of 234 where
 * none of seven reached another. Four causes, each a bound that a VM kept for itself and that does
 * not hold as a sum:
 *
 * - Each VM let its own window of requests pay for retries at any time. As callers moved to other
 *   VMs, what the old VMs had not sent and what the new ones earned came in one window. Shown by
 *   failures in pulses around such moves: 298 of 234, without any restart and with one view.
 * - Each process began with a share of the allowance, whatever its predecessor had sent. Shown by the
 *   logs of such a day, in which each process sends more retries than it gets requests, and by
 *   simulated restarts of a single VM: 144 of 117.
 * - Each VM split the allowance among the VMs that it heard, so one that heard none took all of it.
 *   Shown by gateways that do not reach each other, without any restart.
 * - Requests that had waited for a suspended VM paid for retries of a later window than the one that
 *   they were sent in. Shown by simulated suspensions alone: 238 of 234.
 */

import { describe, it } from "node:test";
import fc from "fast-check";
import { type Hears, RetryFleet } from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  playRetries,
} from "../../../tests/fixtures/retry_play.ts";

/** Time between restarts, and until a VM that has started hears others. */
const RESTART_MS = 1_500;
const HEARD_MS = 500;
/** Callers leave VMs that have saved up all they can, and come back so soon that both lie in one window. */
const AWAY_MS = 9_000;
const PERIOD_MS = 36_000;
const PULSE_MS = 1_500;
const SUSPENDED_MS = 20_000;
const RESUMED_MS = 26_000;

describe("retry budgets of a fleet", () => {
  it("should keep retries within the bound where VMs restart again and again", () => {
    forEachFleet(({ vms, perS, label }) => {
      // A VM that has just started knows itself alone for a while.
      let startedMs = 0;
      const hears = (_vm: number, _other: number, nowMs: number) =>
        nowMs - startedMs >= HEARD_MS;
      const fleet = new RetryFleet(vms, { hears });
      fleet.isFailing = true;
      const step = (_fleet: RetryFleet, nowMs: number) => {
        if (nowMs < 20_000 || nowMs % RESTART_MS !== 0) return;
        startedMs = nowMs;
        for (let vm = 0; vm < vms; vm++) fleet.restart(vm);
      };
      playRetries(fleet, { vms, perS, seconds: 45, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound where VMs do not know each other", () => {
    const cuts: Record<string, Hears> = {
      "none hears another": () => false,
      "two sides, from their start on": (vm, other) => vm % 2 === other % 2,
      "none hears another any more": (_vm, _other, nowMs) => nowMs < 15_000,
    };
    for (const [cut, hears] of Object.entries(cuts)) {
      forEachFleet(({ vms, perS, label }) => {
        const fleet = new RetryFleet(vms, { hears });
        fleet.isFailing = true;
        playRetries(fleet, { vms, perS, seconds: 35, step: () => {} });
        assertWithinBound(fleet, `${cut}, ${label}`);
      });
    }
  });

  it("should keep retries within the bound where callers move as servers fail in pulses", () => {
    forEachFleet(({ vms, perS, label }) => {
      const shape = { lastsMs: 8_000, retries: 2 };
      const fleet = new RetryFleet(vms, { shape });
      const half = Math.ceil(vms / 2);
      const isAway = (nowMs: number) =>
        nowMs % PERIOD_MS >= PERIOD_MS - AWAY_MS;
      const target = (drawn: number, nowMs: number) =>
        vms > 1 && isAway(nowMs) ? drawn * half : vms - half + drawn * half;
      const step = (_fleet: RetryFleet, nowMs: number) => {
        // The last second before callers move.
        fleet.isFailing = isAway(nowMs + 1_000) !== isAway(nowMs) ||
          isAway(nowMs - PULSE_MS + 1_000) !== isAway(nowMs);
      };
      playRetries(fleet, { vms, perS, seconds: 85, step, target });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound after VMs were suspended", () => {
    forEachFleet(({ vms, perS, label }) => {
      const shape = { lastsMs: 8_000, retries: 2 };
      const fleet = new RetryFleet(vms, { shape });
      const step = (_fleet: RetryFleet, nowMs: number) => {
        if (nowMs === SUSPENDED_MS || nowMs === RESUMED_MS) {
          const isSuspended = nowMs === SUSPENDED_MS;
          for (let vm = 1; vm < vms; vm++) fleet.suspend(vm, isSuspended);
        }
        // What was sent to suspended VMs is as old as a window then.
        fleet.isFailing = nowMs >= RESUMED_MS + AWAY_MS;
      };
      playRetries(fleet, { vms, perS, seconds: 45, step });
      assertWithinBound(fleet, label);
    });
  });

  it("should keep retries within the bound in any history of a fleet", () => {
    fc.assert(
      fc.property(
        fc.array(FLEET_EVENT, { maxLength: 60, size: "max" }),
        (events) => {
          const fleet = new RetryFleet(DRAWN_VMS);
          for (const event of events) apply(fleet, event);
          assertWithinBound(fleet, "drawn history");
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });
});

const DRAWN_VMS = 7;

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

const VM = fc.nat({ max: DRAWN_VMS - 1 });
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
  return fc.record(fields).map((drawn) => ({ tag, ...drawn }) as never);
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
