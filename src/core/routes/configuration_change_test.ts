import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AccountId, ApiKey, RouteId } from "../ids.ts";
import { summarizeConfigurationChange } from "./configuration_change.ts";
import type { Route, RoutingConfiguration } from "./route.ts";

function routeOf(id: string, patch: Partial<Route> = {}): Route {
  return {
    id: id as RouteId,
    host: "shop.example",
    pathPrefix: `/${id}/`,
    kind: "stream",
    targets: [],
    maxRuns: 3,
    timeLimitMs: 8_000,
    targetMs: 2_000,
    longestPauseMs: undefined,
    priority: 0,
    anonymous: false,
    resumable: true,
    models: [],
    ...patch,
  };
}

function configurationOf(
  routes: readonly Route[],
  keys: readonly string[],
): RoutingConfiguration {
  return {
    version: 1,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts: [{
      id: "garden" as AccountId,
      keys: keys as ApiKey[],
      priority: undefined,
    }],
  };
}

describe("configuration change summary", () => {
  it("should count keys and routes, and list the changed fields of a route", () => {
    const change = summarizeConfigurationChange(
      configurationOf([routeOf("a"), routeOf("b")], ["k1", "k2"]),
      configurationOf([
        routeOf("a", { timeLimitMs: 4_800, maxRuns: 2 }),
        routeOf("c"),
      ], ["k2", "k3", "k4"]),
    );
    assert.deepEqual(change, {
      keysAdded: 2,
      keysWithdrawn: 1,
      routesAdded: 1,
      routesRemoved: 1,
      routesChanged: 1,
      changed: "a: maxRuns timeLimitMs",
    });
  });

  it("should report no changes between equal configurations", () => {
    const same = () => configurationOf([routeOf("a")], ["k1"]);
    assert.deepEqual(summarizeConfigurationChange(same(), same()), {
      keysAdded: 0,
      keysWithdrawn: 0,
      routesAdded: 0,
      routesRemoved: 0,
      routesChanged: 0,
      changed: "",
    });
  });
});
