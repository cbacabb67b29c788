import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PartKey, RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";
import { findCulprits } from "./crash_attribution.ts";
import { buildHypotheses } from "./crash_hypotheses.ts";
import { CrashReport } from "./crash_report.ts";

const SERVICE_SIZE = 8;

/** A crash of the nth server under a request with these prompt parts, as one VM reports it. */
function crash(n: number, request: string, ...parts: string[]): Crash {
  return {
    request: request as RequestKey,
    parts: parts as PartKey[],
    account: undefined,
    life: `i-${n}` as ServerIncarnation,
    address: `10.0.0.${n % SERVICE_SIZE}:1`,
    after: [],
    beganMs: n * 10_000 - 50,
    endedMs: n * 10_000,
    serviceSize: SERVICE_SIZE,
  };
}

/** Keys of the culprits; parts in `cleared` are known to crash no server. */
function culpritsOf(
  reports: readonly Crash[],
  cleared: readonly string[] = [],
): string[] {
  const suspected = reports.map((one) =>
    new CrashReport(one, one.parts.filter((part) => !cleared.includes(part)))
  );
  return findCulprits(buildHypotheses(suspected)).map(({ id }) => id).sort();
}

describe("hypotheses on crashes under several requests", () => {
  it("should hold all parts that were never seen apart", () => {
    const reports = [1, 2, 3].map((n) => crash(n, `r${n}`, "companion", "bad"));
    assert.deepEqual(culpritsOf(reports), ["bad companion"]);
  });

  it("should hold the part alone once a companion has completed without it", () => {
    const reports = [1, 2, 3].map((n) => crash(n, `r${n}`, "companion", "bad"));
    assert.deepEqual(culpritsOf(reports, ["companion"]), ["bad"]);
  });

  it("should hold the part alone after one crash without its companion", () => {
    const reports = [
      ...[1, 2, 3].map((n) => crash(n, `r${n}`, "companion", "bad")),
      crash(4, "r4", "other", "bad"),
    ];
    assert.deepEqual(culpritsOf(reports), ["bad"]);
  });

  it("should hold the request alone that caused all crashes", () => {
    const reports = [1, 2, 3].map((n) => crash(n, "r", "shared", "bad"));
    assert.deepEqual(culpritsOf(reports), ["bad r shared"]);
  });

  it("should hold the parts once a second request crashed a server, too", () => {
    const reports = [
      ...[1, 2, 3].map((n) => crash(n, "r", "shared", "bad")),
      crash(4, "other", "shared", "bad"),
    ];
    assert.deepEqual(culpritsOf(reports), ["bad shared"]);
  });

  it("should tell two parts apart that crash servers at the same time", () => {
    const reports = [1, 2, 3, 4, 5, 6].map((n) =>
      crash(n, `r${n}`, "shared", n % 2 === 0 ? "bad1" : "bad2")
    );
    assert.deepEqual(culpritsOf(reports, ["shared"]), ["bad1", "bad2"]);
  });

  it("should not accuse the parts of bystanders", () => {
    const reports = [1, 2, 3, 4].flatMap((n) => [
      crash(n, `r${n}`, "bad"),
      ...(n > 1 ? [crash(n, `beside${n}`, "unrelated")] : []),
    ]);
    assert.deepEqual(culpritsOf(reports), ["bad"]);
  });

  it("should not accuse another account's part that one caller names beside a bad one", () => {
    const attack = [1, 2, 3].map((n) => crash(n, `r${n}`, "victim", "bad"));
    for (const id of culpritsOf(attack)) assert.match(id, /bad/);
  });

  it("should not depend on the order of the reports", () => {
    const reports = [
      ...[1, 2, 3].map((n) => crash(n, "r", "shared", "bad")),
      crash(4, "r4", "other", "bad"),
      crash(4, "r5", "shared"),
    ];
    assert.deepEqual(
      culpritsOf([...reports].reverse()),
      culpritsOf(reports),
    );
  });
});
