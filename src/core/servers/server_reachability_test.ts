import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { InstanceId, ServiceId } from "../ids.ts";
import { ServerReachability } from "./server_reachability.ts";

const SERVICE = "tracker" as ServiceId;
const FAILED = ["i-1", "i-2"] as InstanceId[];

let reachability: ServerReachability;

beforeEach(() => {
  reachability = new ServerReachability();
});

describe("reachability of a service's servers", () => {
  it("should be lost when no connection succeeds, and regained by the next contact", () => {
    reachability.recordContact(SERVICE, 100);
    const round = { startedMs: 200, endedMs: 600, failed: FAILED };
    assert.deepEqual(reachability.recordFailedRound(SERVICE, round), {
      tag: "lost",
      service: SERVICE,
      contactAgeMs: 500,
    });
    assert.deepEqual(reachability.lostServices, [SERVICE]);
    assert.equal(reachability.recordFailedRound(SERVICE, round), undefined);
    assert.deepEqual(reachability.recordContact(SERVICE, 900), {
      tag: "regained",
      service: SERVICE,
      lostMs: 300,
    });
    assert.equal(reachability.isLost(SERVICE), false);
  });

  it("should not be lost while bytes arrive on other connections", () => {
    reachability.recordContact(SERVICE, 250);
    const round = { startedMs: 200, endedMs: 600, failed: FAILED };
    assert.equal(reachability.recordFailedRound(SERVICE, round), undefined);
    assert.equal(reachability.isLost(SERVICE), false);
  });

  it("should not stay lost for a service that has no servers left", () => {
    const round = { startedMs: 0, endedMs: 400, failed: FAILED };
    reachability.recordFailedRound(SERVICE, round);
    assert.equal(
      reachability.recordNoServers(SERVICE, 500)?.tag,
      "regained",
    );
    assert.deepEqual(reachability.lostServices, []);
  });
});
