/**
 * Guards against lists of all kinds after a write to a kind that no gateway follows. Each gateway
 * that started listed everything twice, and after a restore of the store, when all gateways
 * register their addresses again, seven made up to 109 calls in a second. Cause: one revision
 * counter serves all kinds, so that a revision of an address looked like a missed change. Proof:
 * with news of such writes left out, 14 lists in place of 7.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { routeWire } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Kind of the addresses that gateways register. */
const ADDRESS_KIND = "fieldrack-vms";
const FOLLOWED_KINDS = ["servers", "rollouts"];
/** Gateways that register in a fleet in which some read the store for the others. */
const RELAYED_READERS = 2;
/** Longer than a gateway takes to read the store's revision, and to list kinds after that. */
const SETTLE_MS = 2_000;

const FLEETS = [
  { vms: 1, registered: 1 },
  { vms: 7, registered: 7 },
  { vms: 15, registered: RELAYED_READERS },
];

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

for (const { vms, registered } of FLEETS) {
  describe(`the addresses of ${vms} gateways`, () => {
    it("should be registered without further lists of other kinds", async () => {
      fleet = new GatewayFleet([routeWire()]);
      const { store } = fleet;
      await fleet.start(vms);
      await until(() =>
        Promise.resolve(store.objects.list(ADDRESS_KIND).length === registered)
      );
      await pause(SETTLE_MS);
      for (const kind of FOLLOWED_KINDS) {
        const lists = store.listsOf(kind);
        assert.ok(lists <= vms, `${lists} lists of ${kind}`);
      }
    });
  });
}
