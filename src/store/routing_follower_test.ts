/**
 * A VM that was suspended took keys for confirmed that had been withdrawn meanwhile: the steady
 * clock, by which the age of the confirmation was told, does not count such time.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ObjectStore } from "../platform/object_store.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { TrustClock } from "../runtime/trust_clock.ts";
import { RoutingFollower } from "./routing_follower.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

const SUSPENDED_MS = 6_000;

let steadyMs: number;
let wallMs: number;
let trustClock: TrustClock;
let follower: RoutingFollower;

beforeEach(() => {
  steadyMs = 0;
  wallMs = 1_700_000_000_000;
  const clock = { monotonicMs: () => steadyMs, wallMs: () => wallMs };
  trustClock = new TrustClock({ clock });
  follower = new RoutingFollower({
    objectStore: {} as ObjectStore,
    storeHealth: { onBack: () => {} } as unknown as StoreHealthKeeper,
    seenRevisions: new SeenRevisions(),
    missedChangeDetector: {} as MissedChangeDetector,
    bounds: {} as DeploymentBounds,
    clock,
    trustClock,
    logger: new SilentLogger(),
    chance: () => 0.5,
  });
  const spec = { Version: 1, Routes: [], Services: [] };
  follower.changed({ name: "main", revision: 1, spec, status: null });
});

describe("age of a confirmation", () => {
  it("should count the time for which the VM was suspended", () => {
    follower.read(trustClock.nowMs());
    wallMs += SUSPENDED_MS;
    assert.ok(follower.confirmedAgeMs() >= SUSPENDED_MS);
  });

  it("should count it also where the answer was asked for before", () => {
    const askedMs = trustClock.nowMs();
    wallMs += SUSPENDED_MS;
    steadyMs += 20;
    wallMs += 20;
    follower.hearConfirmation({ version: 1, atMs: askedMs - 100 });
    assert.ok(follower.confirmedAgeMs() >= SUSPENDED_MS);
  });
});
