import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RequestKey, ServerIncarnation } from "../ids.ts";
import { type Crash, mayHaveCrashed } from "./crash.ts";
import { findPoison, longestSequence, type Suspect } from "./crash_verdict.ts";

const SERVICE_SIZE = 8;

/** A server's end under a request; `n` numbers both server and moment. */
function crash(request: string, n: number, patch: Partial<Crash> = {}): Crash {
  return {
    request: request as RequestKey,
    account: undefined,
    life: `i-${n}` as ServerIncarnation,
    address: `10.0.0.${n}:1`,
    after: [],
    beganMs: n * 10_000 - 50,
    endedMs: n * 10_000,
    serviceSize: SERVICE_SIZE,
    ...patch,
  };
}

function suspect(request: string, servers: readonly number[]): Suspect {
  return {
    request: request as RequestKey,
    crashes: servers.map((n) => crash(request, n)),
  };
}

function poisonOf(...suspects: Suspect[]): string[] {
  return [...findPoison(suspects)].sort();
}

describe("verdict on requests under which servers ended", () => {
  it("should be against a request under which three have ended, and not before", () => {
    assert.deepEqual(poisonOf(suspect("a", [1, 2])), []);
    assert.deepEqual(poisonOf(suspect("a", [1, 2, 3])), ["a"]);
  });

  it("should not be against requests that ran beside it, however often", () => {
    // As seen: 26 servers for the culprit, six and five for requests that did nothing wrong.
    const culprit = Array.from({ length: 26 }, (_, n) => n + 1);
    assert.deepEqual(
      poisonOf(
        suspect("beside", [1, 2, 3, 4, 5, 6]),
        suspect("culprit", culprit),
        suspect("also", [2, 4, 8, 16, 20]),
      ),
      ["culprit"],
    );
  });

  it("should wait where two requests have seen the same servers end", () => {
    const same = [suspect("a", [1, 2, 3]), suspect("b", [1, 2, 3])];
    assert.deepEqual(poisonOf(...same), []);
    const next = [suspect("a", [1, 2, 3, 4]), suspect("b", [1, 2, 3])];
    assert.deepEqual(poisonOf(...next), ["a"]);
  });

  it("should find several that come at once", () => {
    assert.deepEqual(
      poisonOf(
        suspect("a", [1, 2, 3, 4, 5]),
        suspect("b", [5, 6, 7, 8]),
        suspect("beside", [1, 2, 6, 7]),
      ),
      ["a", "b"],
    );
  });

  it("should not be against a request of many callers whose servers fail together", () => {
    const atOnce = [1, 2, 3, 4].map((n) =>
      crash("hot", n, { beganMs: 500 + n, endedMs: 1_000 + n })
    );
    const hot = { request: "hot" as RequestKey, crashes: atOnce };
    assert.deepEqual(poisonOf(hot), []);
  });

  it("should not be against a request that meets one failing server again and again", () => {
    const crashes = [1, 2, 3, 4].map((n) =>
      crash("a", n, { address: "10.0.0.1:1" })
    );
    assert.deepEqual(poisonOf({ request: "a" as RequestKey, crashes }), []);
  });

  it("should count one server several times where the service has no more", () => {
    const crashes = [1, 2, 3].map((n) =>
      crash("a", n, { address: "10.0.0.1:1", serviceSize: 1 })
    );
    assert.equal(longestSequence(crashes), 3);
  });

  it("should take runs in order whose sender knew of the ends before", () => {
    const known: ServerIncarnation[] = [];
    const crashes = [1, 2, 3].map((n) => {
      // So close together that news on its way could turn them round.
      const one = crash("a", n, {
        beganMs: 1_000 + 2 * n,
        endedMs: 1_001 + 2 * n,
        after: [...known],
      });
      known.push(one.life);
      return one;
    });
    assert.equal(longestSequence(crashes), 3);
    const unknown = crashes.map((one) => ({ ...one, after: [] }));
    assert.equal(longestSequence(unknown), 1);
  });
});

describe("a run that ended with its server", () => {
  it("should be suspected only where it had just begun", () => {
    const stream = { streaming: true, firstByteMs: 700 };
    assert.ok(mayHaveCrashed({ ...stream, endedMs: 800 }));
    assert.ok(!mayHaveCrashed({ ...stream, endedMs: 2_500 }));
  });

  it("should not be suspected where it still waited for its first token", () => {
    const waiting = { streaming: true, firstByteMs: undefined };
    assert.ok(!mayHaveCrashed({ ...waiting, endedMs: 100 }));
  });

  it("should be suspected without a byte where none comes before the end", () => {
    const plain = { streaming: false, firstByteMs: undefined };
    assert.ok(mayHaveCrashed({ ...plain, endedMs: 30 }));
  });
});
