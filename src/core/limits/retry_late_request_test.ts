/** Guards against retries beyond the fleet's budget that were earned by requests of an earlier window. */

import { describe, it } from "node:test";
import { RetryFleet } from "../../../tests/fixtures/retry_fleet.ts";
import {
  assertWithinBound,
  forEachFleet,
  playRetries,
} from "../../../tests/fixtures/retry_play.ts";

/** How long links hold what callers send. */
const HOLDS_MS = [2_000, 4_000, 8_000, 12_000];
const HELD_MS = 15_000;
const SHAPE = { lastsMs: 25_000, retries: 2 };

describe("requests that VMs read late", () => {
  it("should pay for no retries of a later window", () => {
    for (const holdMs of HOLDS_MS) {
      for (const part of [1, 0.5]) {
        forEachFleet(({ vms, perS, label }) => {
          const fleet = new RetryFleet(vms, { shape: SHAPE });
          fleet.isFailing = true;
          const step = (_fleet: RetryFleet, nowMs: number) => {
            if (nowMs !== HELD_MS && nowMs !== HELD_MS + holdMs) return;
            for (let vm = 0; vm < part * vms; vm++) {
              fleet.holdLink(vm, nowMs === HELD_MS);
            }
          };
          playRetries(fleet, { vms, perS, seconds: 45, step });
          assertWithinBound(fleet, `${part} for ${holdMs} ms, ${label}`);
        });
      }
    }
  });
});
