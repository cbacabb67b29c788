/**
 * Guards against exceeding the fleet's retry bound: requests that a link delays must not earn retries
 * in a later window than the one in which they were sent.
 */

import { describe, it } from "node:test";
import { RetryFleet } from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  runRetryScenario,
} from "../../../tests/fixtures/retry_play.ts";

/** Durations for which links delay requests of callers. */
const DELAYS_MS = [2_000, 4_000, 8_000, 12_000];
const START_MS = 15_000;
const SHAPE = { lastsMs: 25_000, retries: 2 };

describe("delayed requests", () => {
  it("should not earn retries in a later window", () => {
    for (const delayMs of DELAYS_MS) {
      for (const fraction of [1, 0.5]) {
        forEachFleet(({ vms, perS, label }) => {
          const fleet = new RetryFleet(vms, { shape: SHAPE });
          fleet.isFailing = true;
          const step = (_fleet: RetryFleet, nowMs: number) => {
            if (nowMs !== START_MS && nowMs !== START_MS + delayMs) return;
            for (let vm = 0; vm < fraction * vms; vm++) {
              fleet.holdLink(vm, nowMs === START_MS);
            }
          };
          runRetryScenario(fleet, { vms, perS, seconds: 45, step });
          assertWithinBound(fleet, `${fraction} for ${delayMs} ms, ${label}`);
        });
      }
    }
  });
});
