import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import type { ServiceId } from "../core/ids.ts";
import { ColdServers } from "../core/servers/cold_servers.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ObjectStore, StoredObject } from "../platform/object_store.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { ServerFollower } from "./server_follower.ts";
import { SeenRevisions } from "./seen_revisions.ts";
import { createStoreEraMonitor } from "../../tests/fixtures/store_era.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

const SERVICE = "tracker" as ServiceId;

/** Counts warnings instead of writing them. */
class CountingLogger extends SilentLogger {
  warnings = 0;

  override warn(): void {
    this.warnings += 1;
  }
}

let directory: ServerDirectory;
let logger: CountingLogger;
let follower: ServerFollower;

beforeEach(() => {
  directory = new ServerDirectory();
  logger = new CountingLogger();
  follower = new ServerFollower({
    objectStore: {} as ObjectStore,
    storeHealth: {
      // Shortly after an outage, when entries may still be missing.
      health: { reachable: true, recoveredAtMs: 0 },
      onRecovered: () => {},
    } as unknown as StoreHealthMonitor,
    storeEraMonitor: createStoreEraMonitor(),
    seenRevisions: new SeenRevisions(),
    serverDirectory: directory,
    coldServers: new ColdServers(),
    clock: { monotonicMs: () => 1, wallMs: () => 1 },
    logger,
    chance: () => 0.5,
  });
});

function entry(name: string, patch: object = {}): StoredObject {
  const spec = {
    Service: SERVICE,
    Address: "10.0.0.1:80",
    Zone: "north",
    Version: "v1",
    Slots: 6,
    State: "ready",
    ...patch,
  };
  return { name, revision: 1, spec, status: null };
}

function usableServers(): string[] {
  return directory.usable(SERVICE).map(({ instance }) => instance).sort();
}

describe("follower of servers", () => {
  it("should give no new work to a server whose entry becomes undecodable, and keep the others", () => {
    follower.listed([entry("a"), entry("b")]);
    follower.changed(entry("a", { State: "resting" }));
    assert.deepEqual(usableServers(), ["b"]);
    follower.changed(entry("a"));
    assert.deepEqual(usableServers(), ["a", "b"]);
  });

  it("should do so also if the entry is in a list shortly after an outage", () => {
    follower.listed([entry("a"), entry("b")]);
    follower.listed([entry("a", { Address: 5 }), entry("b")]);
    assert.deepEqual(usableServers(), ["b"]);
  });

  it("should log an undecodable entry once, however often it is read", () => {
    follower.listed([entry("a")]);
    for (let n = 0; n < 5; n++) follower.changed(entry("a", { Slots: "n" }));
    assert.equal(logger.warnings, 1);
    assert.equal(follower.unreadableEntries, 1);
    follower.deleted(entry("a"));
    assert.equal(follower.unreadableEntries, 0);
  });

  it("should tell apart servers that have restarted from those that drain", () => {
    const removed: string[] = [];
    follower.onRemoved(({ instance, bornMs }, reason) =>
      removed.push(`${instance}/${bornMs} ${reason}`)
    );
    follower.listed([entry("a", { born: 5 }), entry("b", { born: 6 })]);
    follower.changed(entry("a", { born: 7 }));
    follower.changed(entry("b", { born: 6, State: "draining" }));
    assert.deepEqual(removed, ["a/5 restarted", "b/6 draining"]);
  });

  it("should neither lose valid entries nor grow on arbitrary entries of another writer", () => {
    const valid = ["a", "b", "c"];
    const patch = fc.dictionary(
      fc.constantFrom(
        ...["Service", "Address", "Zone", "Version", "Slots", "State", "born"],
      ),
      fc.anything(),
    );
    const anySpec = fc.oneof(
      fc.anything(),
      patch.map((fields) => entry("x", fields).spec),
    );
    const event = fc.record({
      spec: anySpec,
      how: fc.constantFrom("listed", "changed", "deleted"),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 20 }), (events) => {
        follower.listed(valid.map((name) => entry(name)));
        for (const { spec, how } of events) {
          const arbitrary = { ...entry("x"), spec };
          if (how === "listed") {
            follower.listed([...valid.map((name) => entry(name)), arbitrary]);
          } else follower[how](arbitrary);
          assert.deepEqual(
            usableServers().filter((name) => name !== "x"),
            valid,
          );
          assert.ok(directory.size <= valid.length + 1);
          assert.ok(follower.unreadableEntries <= 1);
        }
        follower.deleted(entry("x"));
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});
