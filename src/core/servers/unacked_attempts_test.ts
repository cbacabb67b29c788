import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import type { InstanceId } from "../ids.ts";
import { UnackedAttempts } from "./unacked_attempts.ts";

const LIFE = { instance: "s-1" as InstanceId, bornMs: 100 };
const NEXT_LIFE = { ...LIFE, bornMs: 200 };
const MINUTE_MS = 60_000;

let unacked: UnackedAttempts;
let acked: number[];

function send(nowMs: number, life = LIFE): void {
  unacked.recordSent(life, { nowMs, onAcked: () => acked.push(nowMs) });
}

beforeEach(() => {
  unacked = new UnackedAttempts();
  acked = [];
});

describe("unacknowledged attempts", () => {
  it("should be acknowledged by an answer to what was sent no earlier", () => {
    for (const atMs of [1, 2, 3]) send(atMs);
    unacked.recordAnswer(LIFE, 2);
    assert.deepEqual(acked, [1, 2]);
    assert.deepEqual(unacked.state(LIFE, 10), {
      count: 1,
      oldestMs: 7,
      newestMs: 7,
    });
  });

  it("should be acknowledged by a byte of the server that comes some time later", () => {
    for (const atMs of [1, 2, 3]) send(atMs);
    unacked.recordActivity(LIFE, 50);
    assert.deepEqual(acked, []);
    unacked.recordActivity(LIFE, 102);
    assert.deepEqual(acked, [1, 2]);
  });

  it("should be acknowledged where a connection or the server has ended", () => {
    for (const atMs of [1, 2, 3]) send(atMs);
    unacked.recordClosed(LIFE, 2);
    assert.deepEqual(acked, [2]);
    unacked.recordServerExit(LIFE);
    assert.deepEqual(acked, [2, 1, 3]);
  });

  it("should be discarded with the life that they were sent to", () => {
    send(1);
    send(2, NEXT_LIFE);
    assert.deepEqual(acked, [1]);
    // A late answer of the earlier life.
    unacked.recordAnswer(LIFE, 3);
    assert.deepEqual(acked, [1]);
  });

  it("should be taken for lost after a minute", () => {
    send(0);
    send(MINUTE_MS);
    assert.deepEqual(acked, []);
    send(MINUTE_MS + 1);
    assert.deepEqual(acked, [0]);
  });

  // Guards against retries that count as under way for ever, so that callers get no others.
  it("should be taken for lost also where their server gets nothing more", () => {
    send(0);
    const other = { ...LIFE, instance: "s-2" as InstanceId };
    send(MINUTE_MS + 1, other);
    assert.deepEqual(acked, [0]);
  });

  it("should be acknowledged once, whatever is heard", () => {
    const event = fc.record({
      kind: fc.constantFrom("send", "answer", "close", "end"),
      ms: fc.nat({ max: 50 }),
      life: fc.constantFrom(LIFE, NEXT_LIFE),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 60 }), (events) => {
        unacked = new UnackedAttempts();
        acked = [];
        let nowMs = 0;
        let sent = 0;
        for (const { kind, ms, life } of events) {
          if (kind === "answer") unacked.recordAnswer(life, ms);
          else if (kind === "close") unacked.recordClosed(life, ms);
          else if (kind === "end") unacked.recordServerExit(life);
          else {
            nowMs += ms + 1;
            sent += 1;
            send(nowMs, life);
          }
        }
        const { count } = unacked.state(LIFE, nowMs);
        assert.equal(new Set(acked).size, acked.length);
        assert.equal(acked.length + count, sent);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
