/**
 * Guards against exceeding the fleet's retry bound where a middlebox holds requests: it delivers them
 * late, ends their connections meanwhile, or holds only some of the connections to a server.
 */

import { describe, it } from "node:test";
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
/** Durations for which connections are held. */
const HOLD_DURATIONS_MS = [12_000, 30_000, 50_000];
/** Duration for which connections are held after requests have stopped; longer than a window. */
const STOPPED_HOLD_MS = 14_000;
/** Fractions of connections that are held. */
const HELD_SHARES = [0.5, 0.9, 0.98];
const SERVERS = 8;

describe("retries held by middleboxes", () => {
  // Guards against taking the end of a connection for proof that its request cannot arrive any more.
  it("should stay within the bound where connections to stopped servers end", () => {
    for (const stopMs of STOP_DURATIONS_MS) {
      forEachFleet(({ vms, perS, label }) => {
        const fleet = new RetryFleet(vms);
        fleet.isClosing = true;
        const step = stopServers(stopMs, SERVERS);
        const seconds = 32 + stopMs / 1_000;
        runRetryScenario(fleet, { vms, perS, seconds, step });
        assertWithinBound(fleet, `${stopMs} ms, ${label}`);
      });
    }
  });

  // Guards against taking a response for proof that what was sent on other connections has arrived.
  it("should stay within the bound where some connections are held and others are not", () => {
    for (const share of HELD_SHARES) {
      for (const holdMs of HOLD_DURATIONS_MS) {
        forEachFleet(({ vms, perS, label }) => {
          const fleet = new RetryFleet(vms);
          const step = (_fleet: RetryFleet, nowMs: number) => {
            if (nowMs === STOP_AT_MS) {
              fleet.isFailing = true;
              fleet.heldShare = share;
            }
            if (nowMs === STOP_AT_MS + holdMs) fleet.releaseHeld();
          };
          const seconds = 32 + holdMs / 1_000;
          runRetryScenario(fleet, { vms, perS, seconds, step });
          assertWithinBound(fleet, `${share} for ${holdMs} ms, ${label}`);
        });
      }
    }
  });

  // Guards against the same where no further requests pay for what arrives.
  it("should stay within the bound where requests stop while some connections are held", () => {
    forEachFleet(({ vms, perS, label }) => {
      const fleet = new RetryFleet(vms);
      const step = (_fleet: RetryFleet, nowMs: number) => {
        if (nowMs === STOP_AT_MS) {
          fleet.isFailing = true;
          fleet.heldShare = 0.9;
        }
        if (nowMs === STOP_AT_MS + STOPPED_HOLD_MS) fleet.releaseHeld();
      };
      const rate = (nowMs: number) => nowMs > STOP_AT_MS + 2_000 ? 0 : perS;
      runRetryScenario(fleet, { vms, perS: rate, seconds: 45, step });
      assertWithinBound(fleet, label);
    });
  });
});
