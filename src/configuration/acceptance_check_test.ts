import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
  type HolderReport,
  holderReportKey,
} from "../core/config/holder_report.ts";
import type { EntryId, Revision } from "../core/ids.ts";
import { fail, ok } from "../core/result.ts";
import type { Platform } from "../platform/platform.ts";
import { AcceptanceCheck } from "./acceptance_check.ts";

const REVISION = 7 as Revision;

let reports: Map<string, string>;
let listed: string[];

beforeEach(() => {
  reports = new Map();
  listed = [];
});

const platform = {
  listKeys: (prefix: string) =>
    Promise.resolve(
      ok([...reports.keys()].filter((k) => k.startsWith(prefix))),
    ),
  get: (key: string) => {
    const value = reports.get(key);
    return Promise.resolve(
      value === undefined
        ? fail({ tag: "missing", key })
        : ok({ key, version: 1, value }),
    );
  },
  listVms: () => {
    const vms = listed.map((id) => ({ id, kind: "entry", state: "live" }));
    return Promise.resolve(ok({ list: { vms }, etag: "1" }));
  },
} as unknown as Platform;

/** Stores one report per entry with the revision it holds; every roster consists of all of them. */
function report(
  held: Readonly<Record<string, number>>,
  patch: Partial<HolderReport> = {},
): void {
  const roster = Object.keys(held) as EntryId[];
  for (const entry of roster) {
    const revision = held[entry] as Revision;
    const own = { entry, roster, held: [{ entry, revision }], listed: false };
    const text = JSON.stringify({ ...own, ...patch });
    reports.set(holderReportKey(entry), text);
  }
}

async function laggingEntries(): Promise<string[]> {
  const lagging = await new AcceptanceCheck(platform, REVISION)
    .reportsWithoutMajority();
  assert.ok(lagging.ok);
  return lagging.value.map(({ entry }) => entry);
}

describe("acceptance check", () => {
  it("should pass if a majority of each roster holds the revision, or if there are no reports", async () => {
    assert.deepEqual(await laggingEntries(), []);
    report({ a: 7, b: 8, c: 6 });
    assert.deepEqual(await laggingEntries(), []);
  });

  it("should return the reports whose roster lacks a majority", async () => {
    report({ a: 7, b: 6, c: 6 });
    assert.deepEqual(await laggingEntries(), ["a", "b", "c"]);
    report({ d: 7 });
    assert.deepEqual(await laggingEntries(), ["a", "b", "c"]);
  });

  it("should read changed reports again", async () => {
    report({ a: 7, b: 6, c: 6 });
    const check = new AcceptanceCheck(platform, REVISION);
    await check.reportsWithoutMajority();
    report({ a: 7, b: 7, c: 6 });
    assert.deepEqual(await check.reportsWithoutMajority(), ok([]));
  });

  it("should ignore reports with a withdrawn roster", async () => {
    report({ a: 6, b: 6 }, { roster: [] });
    assert.deepEqual(await laggingEntries(), []);
  });

  it("should ignore reports of entries that the platform no longer lists", async () => {
    report({ a: 7, b: 6 }, { listed: true });
    listed = ["a", "b"];
    assert.deepEqual(await laggingEntries(), ["a", "b"]);
    listed = ["b"];
    assert.deepEqual(await laggingEntries(), ["b"]);
    listed = [];
    assert.deepEqual(await laggingEntries(), []);
    report({ a: 7, b: 6 }, { listed: false });
    assert.deepEqual(await laggingEntries(), ["a", "b"]);
  });

  it("should fail if a report cannot be parsed", async () => {
    reports.set(holderReportKey("a" as EntryId), "{}");
    const lagging = await new AcceptanceCheck(platform, REVISION)
      .reportsWithoutMajority();
    assert.equal(lagging.ok, false);
  });
});
