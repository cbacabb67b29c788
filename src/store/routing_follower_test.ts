/**
 * A VM that was suspended took keys for confirmed that had been withdrawn meanwhile: the steady
 * clock, by which the age of the confirmation was told, does not count such time.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ObjectStore } from "../platform/object_store.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { RoutingFollower } from "./routing_follower.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

const SUSPENDED_MS = 6_000;

let steadyMs: number;
let wallMs: number;
let suspendAwareClock: SuspendAwareClock;
let follower: RoutingFollower;

beforeEach(() => {
  steadyMs = 0;
  wallMs = 1_700_000_000_000;
  const clock = { monotonicMs: () => steadyMs, wallMs: () => wallMs };
  suspendAwareClock = new SuspendAwareClock({ clock });
  follower = new RoutingFollower({
    objectStore: {} as ObjectStore,
    storeHealth: { onBack: () => {} } as unknown as StoreHealthKeeper,
    seenRevisions: new SeenRevisions(),
    missedChangeDetector: {} as MissedChangeDetector,
    bounds: {} as DeploymentBounds,
    clock,
    suspendAwareClock,
    logger: new SilentLogger(),
    chance: () => 0.5,
  });
  const spec = { Version: 1, Routes: [], Services: [] };
  follower.changed({ name: "main", revision: 1, spec, status: null });
});

describe("age of a confirmation", () => {
  it("should count the time for which the VM was suspended", () => {
    follower.read(suspendAwareClock.nowMs());
    wallMs += SUSPENDED_MS;
    assert.ok(follower.confirmedAgeMs() >= SUSPENDED_MS);
  });

  // A list confirmed the configuration whatever had come of its object, so that a key which a
  // configuration of an unknown form had withdrawn went on to open routes.
  it("should not be renewed by a list that can't be decoded", () => {
    const spec = { Version: 2, Routes: "unknown" };
    follower.changed({ name: "main", revision: 2, spec, status: null });
    follower.read(suspendAwareClock.nowMs());
    assert.equal(follower.confirmedAgeMs(), Infinity);
    const readable = { Version: 3, Routes: [], Services: [] };
    const object = { name: "main", revision: 3, spec: readable, status: null };
    follower.changed(object);
    follower.read(suspendAwareClock.nowMs());
    assert.equal(follower.confirmedAgeMs(), 0);
  });

  it("should count it also where the answer was asked for before", () => {
    const askedMs = suspendAwareClock.nowMs();
    wallMs += SUSPENDED_MS;
    steadyMs += 20;
    wallMs += 20;
    follower.hearConfirmation({ version: 1, atMs: askedMs - 100 });
    assert.ok(follower.confirmedAgeMs() >= SUSPENDED_MS);
  });
});
