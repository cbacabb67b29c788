/**
 * What servers named was not read, so that they got what they had got before: 15 requests in 4 s
 * where 1.3 a second was named. A limit is the first word of a server that is true for all VMs and
 * ends again: here stand which of two notices is the newer one.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";
import { type LimitNotice, ServerLimits } from "./server_limits.ts";

const SERVER = serverRecord("i-1", { bornMs: 5 });
const REBORN = { ...SERVER, bornMs: 9 };
const NAMED: LimitNotice = { life: SERVER, limitPerS: 2, atMs: 1_000 };

function limited(): ServerLimits {
  const limits = new ServerLimits();
  limits.receive(NAMED);
  return limits;
}

describe("limits of servers", () => {
  it("should be those that servers have named last", () => {
    const limits = limited();
    assert.equal(limits.get(SERVER), 2);
    assert.equal(limits.receive({ ...NAMED, limitPerS: 0, atMs: 1_100 }), true);
    assert.equal(
      limits.receive({ ...NAMED, limitPerS: 6, atMs: 1_050 }),
      false,
    );
    assert.equal(limits.get(SERVER), 0);
    assert.equal(limits.count(1_100), 1);
  });

  it("should end by an answer without one, if its request was sent since", () => {
    const limits = limited();
    assert.equal(limits.receiveNoLimit(SERVER, 999), false);
    assert.equal(limits.receiveNoLimit(SERVER, 1_000), false);
    assert.equal(limits.get(SERVER), 2);
    assert.equal(limits.receiveNoLimit(SERVER, 1_001), true);
    assert.equal(limits.get(SERVER), undefined);
    assert.equal(limits.receiveNoLimit(SERVER, 1_002), false);
  });

  it("should not come back by older news", () => {
    const limits = limited();
    limits.receiveNoLimit(SERVER, 1_500);
    assert.equal(limits.receive({ ...NAMED, atMs: 1_400 }), false);
    assert.equal(limits.get(SERVER), undefined);
    assert.equal(limits.receive({ ...NAMED, atMs: 1_600 }), true);
  });

  it("should not be taken over by a later life, nor by news of an earlier one", () => {
    const limits = limited();
    assert.equal(limits.get(REBORN), undefined);
    assert.equal(limits.receiveNoLimit(REBORN, 2_000), false);
    limits.receive({ life: REBORN, limitPerS: 7, atMs: 900 });
    assert.equal(limits.get(REBORN), 7);
    assert.equal(limits.receive({ ...NAMED, atMs: 3_000 }), false);
    assert.equal(limits.get(REBORN), 7);
  });

  it("should be forgotten once nothing was heard of them for long", () => {
    const limits = limited();
    assert.equal(limits.notices(600_000).length, 1);
    assert.equal(limits.notices(700_000).length, 0);
    assert.ok(limits.isEmpty);
  });

  it("should be alike in whichever order news comes", () => {
    const notice = fc.record({
      life: fc.constantFrom(SERVER, REBORN),
      limitPerS: fc.option(fc.nat(3), { nil: undefined }),
      atMs: fc.nat(20),
    });
    fc.assert(
      fc.property(fc.array(notice), (news) => {
        // Of one moment, one server says one thing.
        const byMoment = new Map(
          news.map((item) => [`${item.life.bornMs}/${item.atMs}`, item]),
        );
        const items = [...byMoment.values()];
        const [first, second] = [new ServerLimits(), new ServerLimits()];
        for (const item of items) first.receive(item);
        for (const item of items.reverse()) second.receive(item);
        assert.equal(first.get(REBORN), second.get(REBORN));
      }),
    );
  });
});
