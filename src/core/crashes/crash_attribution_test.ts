import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RequestKey, ServerIncarnation } from "../ids.ts";
import { type Crash, mayHaveCausedCrash } from "./crash.ts";
import { countSequentialCrashes, findCulprits } from "./crash_attribution.ts";
import { buildHypotheses } from "./crash_hypotheses.ts";
import { CrashReport } from "./crash_report.ts";

const SERVICE_SIZE = 8;

/** A crash under a request; `n` determines both the server and the time. */
function crash(request: string, n: number, patch: Partial<Crash> = {}): Crash {
  return {
    request: request as RequestKey,
    parts: [],
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

function suspect(request: string, servers: readonly number[]): Crash[] {
  return servers.map((n) => crash(request, n));
}

/** Ids of the culprits: the request, or the parts that its requests have in common. */
function culpritsOf(...reports: (readonly Crash[])[]): string[] {
  const hypotheses = buildHypotheses(
    reports.flat().map((one) => new CrashReport(one, one.parts)),
  );
  return findCulprits(hypotheses).map(({ id }) => id).sort();
}

describe("crash attribution", () => {
  it("should accuse a request after three crashes, and not before", () => {
    assert.deepEqual(culpritsOf(suspect("a", [1, 2])), []);
    assert.deepEqual(culpritsOf(suspect("a", [1, 2, 3])), ["a"]);
  });

  it("should not accuse bystanders of a culprit, however many crashes they have", () => {
    // From an incident: 26 crashes of the culprit, six and five of innocent requests.
    const culprit = Array.from({ length: 26 }, (_, n) => n + 1);
    assert.deepEqual(
      culpritsOf(
        suspect("beside", [1, 2, 3, 4, 5, 6]),
        suspect("culprit", culprit),
        suspect("also", [2, 4, 8, 16, 20]),
      ),
      ["culprit"],
    );
  });

  it("should accuse neither of two requests with the same crashes", () => {
    const same = [suspect("a", [1, 2, 3]), suspect("b", [1, 2, 3])];
    assert.deepEqual(culpritsOf(...same), []);
    const next = [suspect("a", [1, 2, 3, 4]), suspect("b", [1, 2, 3])];
    assert.deepEqual(culpritsOf(...next), ["a"]);
  });

  it("should find several concurrent culprits", () => {
    assert.deepEqual(
      culpritsOf(
        suspect("a", [1, 2, 3, 4, 5]),
        suspect("b", [5, 6, 7, 8]),
        suspect("beside", [1, 2, 6, 7]),
      ),
      ["a", "b"],
    );
  });

  it("should not accuse a request of many callers whose servers fail together", () => {
    const together = [1, 2, 3, 4].map((n) =>
      crash("hot", n, { beganMs: 500 + n, endedMs: 1_000 + n })
    );
    assert.deepEqual(culpritsOf(together), []);
  });

  it("should not accuse a request that repeatedly runs on one failing server", () => {
    const crashes = [1, 2, 3, 4].map((n) =>
      crash("a", n, { address: "10.0.0.1:1" })
    );
    assert.deepEqual(culpritsOf(crashes), []);
  });

  // Guards against BUDGET: a part that only ever reaches one server crashes it again and again.
  it("should accuse a request after five crashes of the only server that its senders could use", () => {
    const known = (count: number) =>
      Array.from({ length: count }, (_, n) =>
        crash("a", n + 1, {
          address: "10.0.0.1:1",
          after: Array.from(
            { length: n },
            (_, at) => `i-${at + 1}` as ServerIncarnation,
          ),
        }));
    assert.deepEqual(culpritsOf(known(4)), []);
    assert.deepEqual(culpritsOf(known(5)), ["a"]);
  });

  it("should count one server several times if the service has no other", () => {
    const crashes = [1, 2, 3].map((n) =>
      crash("a", n, { address: "10.0.0.1:1", serviceSize: 1 })
    );
    assert.equal(countSequentialCrashes(crashes), 3);
  });

  it("should order runs whose sender knew of the earlier crashes", () => {
    const known: ServerIncarnation[] = [];
    const crashes = [1, 2, 3].map((n) => {
      // So close together that report delays could reverse their order.
      const one = crash("a", n, {
        beganMs: 1_000 + 2 * n,
        endedMs: 1_001 + 2 * n,
        after: [...known],
      });
      known.push(one.life);
      return one;
    });
    assert.equal(countSequentialCrashes(crashes), 3);
    const unknown = crashes.map((one) => ({ ...one, after: [] }));
    assert.equal(countSequentialCrashes(unknown), 1);
  });
});

describe("run that ended with its server", () => {
  it("should be suspected only if it had just begun", () => {
    const stream = { streaming: true, firstByteMs: 700 };
    assert.ok(mayHaveCausedCrash({ ...stream, endedMs: 800 }));
    assert.ok(!mayHaveCausedCrash({ ...stream, endedMs: 2_500 }));
  });

  // Guards against BUDGET: a stream that crashes its server with its first token was never suspected.
  it("should be suspected without a first token, however long it waited for it", () => {
    const waiting = { streaming: true, firstByteMs: undefined };
    assert.ok(mayHaveCausedCrash({ ...waiting, endedMs: 100 }));
    assert.ok(mayHaveCausedCrash({ ...waiting, endedMs: 4_000 }));
  });

  it("should be suspected without a first byte if the response is not streamed", () => {
    const plain = { streaming: false, firstByteMs: undefined };
    assert.ok(mayHaveCausedCrash({ ...plain, endedMs: 30 }));
  });
});
