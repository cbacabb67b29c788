import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ReleaseId, ServiceId } from "../ids.ts";
import type { RollOutOrder } from "../servers/roll_out_order.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";
import { ReleaseGate } from "./release_gate.ts";

const SERVICE = "inspect" as ServiceId;
const REPLACED = "v1" as ReleaseId;
const CURRENT = "v2" as ReleaseId;
const NEXT = "v3" as ReleaseId;
/** The order of the current release, which has been completed. */
const COMPLETED: RollOutOrder = {
  service: SERVICE,
  release: CURRENT,
  limitMs: 16_000,
  state: "completed",
  stateRelease: CURRENT,
};

function servers(...releases: ReleaseId[]) {
  return releases.map((release, at) =>
    serverRecord(`s-${at}`, { service: SERVICE, release })
  );
}

describe("a release gate whose service has had two roll-outs in succession", () => {
  // Guards against requests that go to the release before last while its servers are being stopped.
  it("should send no traffic to a replaced release", () => {
    const gate = new ReleaseGate();
    gate.setOrder(COMPLETED);
    const next = { ...COMPLETED, release: NEXT };
    const orders: RollOutOrder[] = [
      // A new order carries the state of the previous one until it is started.
      next,
      { ...next, state: "in_progress", stateRelease: NEXT },
      { ...next, state: "rolled_back", stateRelease: NEXT },
    ];
    for (const order of orders) {
      gate.setOrder(order);
      const { stable } = gate.eligibleServers(SERVICE, {
        servers: servers(REPLACED, CURRENT, NEXT),
        nowMs: 0,
      });
      assert.deepEqual(stable.map(({ release }) => release), [CURRENT]);
    }
  });

  it("should send traffic to a replaced release if no other server is left", () => {
    const gate = new ReleaseGate();
    gate.setOrder(COMPLETED);
    gate.setOrder({ ...COMPLETED, release: NEXT });
    const { stable } = gate.eligibleServers(SERVICE, {
      servers: servers(REPLACED, REPLACED),
      nowMs: 0,
    });
    assert.deepEqual(stable.map(({ release }) => release), [
      REPLACED,
      REPLACED,
    ]);
  });
});
