/**
 * Guards against ignoring the rate limits that servers advertise: a server that advertised 1.3 requests
 * per second got 15 requests in 4 s. As a limit applies to all VMs and can end, these tests cover which
 * of two notices is the newer one.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";
import { type LimitNotice, ServerLimits } from "./server_limits.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const RESTARTED = { ...SERVER, bornMs: 9 };
const NOTICE: LimitNotice = { life: SERVER, limitPerS: 2, atMs: 1_000 };

function limited(): ServerLimits {
  const limits = new ServerLimits();
  limits.receive(NOTICE);
  return limits;
}

describe("server limits", () => {
  it("should be those that servers advertised last", () => {
    const limits = limited();
    assert.equal(limits.get(SERVER), 2);
    assert.equal(
      limits.receive({ ...NOTICE, limitPerS: 0, atMs: 1_100 }),
      true,
    );
    assert.equal(
      limits.receive({ ...NOTICE, limitPerS: 6, atMs: 1_050 }),
      false,
    );
    assert.equal(limits.get(SERVER), 0);
    assert.equal(limits.count(1_100), 1);
  });

  it("should end by an answer without a limit to a request sent after the notice", () => {
    const limits = limited();
    assert.equal(limits.receiveNoLimit(SERVER, 999), false);
    assert.equal(limits.receiveNoLimit(SERVER, 1_000), false);
    assert.equal(limits.get(SERVER), 2);
    assert.equal(limits.receiveNoLimit(SERVER, 1_001), true);
    assert.equal(limits.get(SERVER), undefined);
    assert.equal(limits.receiveNoLimit(SERVER, 1_002), false);
  });

  it("should not be restored by an older notice", () => {
    const limits = limited();
    limits.receiveNoLimit(SERVER, 1_500);
    assert.equal(limits.receive({ ...NOTICE, atMs: 1_400 }), false);
    assert.equal(limits.get(SERVER), undefined);
    assert.equal(limits.receive({ ...NOTICE, atMs: 1_600 }), true);
  });

  it("should apply to one incarnation only", () => {
    const limits = limited();
    assert.equal(limits.get(RESTARTED), undefined);
    assert.equal(limits.receiveNoLimit(RESTARTED, 2_000), false);
    limits.receive({ life: RESTARTED, limitPerS: 7, atMs: 900 });
    assert.equal(limits.get(RESTARTED), 7);
    assert.equal(limits.receive({ ...NOTICE, atMs: 3_000 }), false);
    assert.equal(limits.get(RESTARTED), 7);
  });

  it("should expire without new notices", () => {
    const limits = limited();
    assert.equal(limits.notices(600_000).length, 1);
    assert.equal(limits.notices(700_000).length, 0);
    assert.ok(limits.isEmpty);
  });

  it("should not depend on the order of notices", () => {
    const notice = fc.record({
      life: fc.constantFrom(SERVER, RESTARTED),
      limitPerS: fc.option(fc.nat(3), { nil: undefined }),
      atMs: fc.nat(20),
    });
    fc.assert(
      fc.property(fc.array(notice), (notices) => {
        // A server advertises only one limit at any time.
        const byTime = new Map(
          notices.map((item) => [`${item.life.bornMs}/${item.atMs}`, item]),
        );
        const items = [...byTime.values()];
        const [first, second] = [new ServerLimits(), new ServerLimits()];
        for (const item of items) first.receive(item);
        for (const item of items.reverse()) second.receive(item);
        assert.equal(first.get(RESTARTED), second.get(RESTARTED));
      }),
    );
  });
});
