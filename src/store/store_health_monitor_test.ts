import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { SilentLogger } from "../runtime/logger.ts";
import { StoreHealthMonitor } from "./store_health_monitor.ts";

let nowMs: number;
let monitor: StoreHealthMonitor;

beforeEach(() => {
  nowMs = 10_000;
  monitor = new StoreHealthMonitor({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
    logger: new SilentLogger(),
  });
});

describe("health of the store", () => {
  /**
   * A relay that alone was cut off from the store lost it repeatedly, and each time other VMs
   * reported it as reachable. Servers that had left were used for another 3.03 to 4.9 s, as their
   * missing entries were attributed to an outage.
   */
  it("should not report a recovery if only this VM could not reach the store", () => {
    for (let n = 0; n < 3; n++) {
      monitor.recordFailure("refused");
      assert.equal(monitor.health.reachable, false);
      nowMs += 100;
      monitor.recordPeerReport(undefined);
      assert.deepEqual(monitor.health, {
        reachable: true,
        recoveredAtMs: undefined,
      });
      nowMs += 1_600;
    }
  });

  it("should take the time of the recovery from the reports of other VMs", () => {
    monitor.recordFailure("refused");
    nowMs += 5_000;
    monitor.recordPeerReport(300);
    assert.equal(monitor.health.recoveredAtMs, nowMs - 300);
  });

  it("should take the time of the recovery from the first call that is answered", () => {
    monitor.recordFailure("refused");
    nowMs += 5_000;
    monitor.recordSuccess();
    assert.equal(monitor.health.recoveredAtMs, nowMs);
    nowMs += 1_000;
    monitor.recordSuccess();
    assert.equal(monitor.health.recoveredAtMs, nowMs - 1_000);
  });

  it("should notify listeners of a recovery that a call or another VM reveals", () => {
    let recoveries = 0;
    monitor.onRecovered(() => recoveries += 1);
    monitor.recordFailure("refused");
    monitor.recordPeerReport(undefined);
    monitor.recordFailure("refused");
    monitor.recordSuccess();
    assert.equal(recoveries, 2);
  });
});
