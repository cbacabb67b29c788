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

/** Reports of entries that hold a revision, by name, and of which each would ask all. */
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

async function namesBehind(): Promise<string[]> {
  const behind = await new AcceptanceCheck(platform, REVISION).behind();
  assert.ok(behind.ok);
  return behind.value.map(({ entry }) => entry);
}

describe("check that a revision is held", () => {
  it("should pass where a majority of each roster holds it, and where none reports", async () => {
    assert.deepEqual(await namesBehind(), []);
    report({ a: 7, b: 8, c: 6 });
    assert.deepEqual(await namesBehind(), []);
  });

  it("should name whose roster lacks a majority", async () => {
    report({ a: 7, b: 6, c: 6 });
    assert.deepEqual(await namesBehind(), ["a", "b", "c"]);
    report({ d: 7 });
    assert.deepEqual(await namesBehind(), ["a", "b", "c"]);
  });

  it("should read again what has changed since", async () => {
    report({ a: 7, b: 6, c: 6 });
    const check = new AcceptanceCheck(platform, REVISION);
    await check.behind();
    report({ a: 7, b: 7, c: 6 });
    assert.deepEqual(await check.behind(), ok([]));
  });

  it("should not wait for entries that have withdrawn their roster", async () => {
    report({ a: 6, b: 6 }, { roster: [] });
    assert.deepEqual(await namesBehind(), []);
  });

  it("should not wait for entries that the platform has listed and lists no more", async () => {
    report({ a: 7, b: 6 }, { listed: true });
    listed = ["a", "b"];
    assert.deepEqual(await namesBehind(), ["a", "b"]);
    listed = ["b"];
    assert.deepEqual(await namesBehind(), ["b"]);
    listed = [];
    assert.deepEqual(await namesBehind(), []);
    report({ a: 7, b: 6 }, { listed: false });
    assert.deepEqual(await namesBehind(), ["a", "b"]);
  });

  it("should pass nothing while a report can't be read", async () => {
    reports.set(holderReportKey("a" as EntryId), "{}");
    const behind = await new AcceptanceCheck(platform, REVISION).behind();
    assert.equal(behind.ok, false);
  });
});
