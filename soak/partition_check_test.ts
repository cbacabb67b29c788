import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { History, type RequestRecord } from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { checkPartitions, SERVERS_CUT } from "./partition_check.ts";

const CUT = "vm-0" as GatewayName;
const OTHER = "vm-1" as GatewayName;

/** A cut from 0 to 10 s, with requests at both gateways from `sentMs` on. */
function historyOf(servedThere: number, sentMs: number): History {
  const history = new History();
  history.faultWindows.push({
    name: SERVERS_CUT,
    target: CUT,
    fromMs: 0,
    untilMs: 10_000,
  });
  for (let n = 0; n < 30; n++) {
    for (const gateway of [CUT, OTHER]) {
      const status = gateway === OTHER || n < servedThere ? 200 : 503;
      history.requests.push({
        gateway,
        sentMs,
        endMs: sentMs + 1,
        ending: { tag: "answered", status, body: "" },
      } as unknown as RequestRecord);
    }
  }
  return history;
}

describe("check of gateways without links to servers", () => {
  it("should report gateways that serve far less than the others", () => {
    assert.equal(checkPartitions(historyOf(10, 5_000)).length, 1);
  });

  it("should accept gateways that serve about as much", () => {
    assert.deepEqual(checkPartitions(historyOf(28, 5_000)), []);
  });

  it("should not apply right after the cut", () => {
    assert.deepEqual(checkPartitions(historyOf(0, 2_000)), []);
  });
});
