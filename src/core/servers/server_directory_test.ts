import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DataCentreId, InstanceId, ServiceId } from "../ids.ts";
import { RELISTING_GRACE_MS, ServerDirectory } from "./server_directory.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const SERVICE = "tracker" as ServiceId;
const HEALTHY = { reachable: true, recoveredAtMs: undefined };
const UNREACHABLE = { reachable: false, recoveredAtMs: undefined };

function namesOf(directory: ServerDirectory): string[] {
  return directory.usable(SERVICE).map(({ instance }) => instance).sort();
}

describe("server directory", () => {
  it("should give no new work to a draining server", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.put(serverRecord("b"));
    const changes = directory.put(serverRecord("a", { state: "draining" }));
    assert.deepEqual(namesOf(directory), ["b"]);
    assert.equal(changes[0]?.tag, "removed");
  });

  it("should remove a server whose entry vanishes while the store is healthy", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.remove("a" as InstanceId, { health: HEALTHY, nowMs: 10_000 });
    assert.deepEqual(namesOf(directory), []);
  });

  it("should keep a server whose entry vanished with the store until it can be listed again", () => {
    const directory = new ServerDirectory();
    directory.replaceAll([serverRecord("a"), serverRecord("b")], {
      health: HEALTHY,
      nowMs: 0,
    });
    const recovered = { reachable: true, recoveredAtMs: 10_000 };
    directory.replaceAll([serverRecord("b")], {
      health: recovered,
      nowMs: 10_000,
    });
    assert.deepEqual(namesOf(directory), ["a", "b"]);
    directory.removeExpired({
      health: recovered,
      nowMs: 10_000 + RELISTING_GRACE_MS - 1,
    });
    assert.deepEqual(namesOf(directory), ["a", "b"]);
    directory.removeExpired({
      health: recovered,
      nowMs: 10_000 + RELISTING_GRACE_MS,
    });
    assert.deepEqual(namesOf(directory), ["b"]);
  });

  it("should keep missing servers as long as the store is unreachable", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.remove("a" as InstanceId, { health: UNREACHABLE, nowMs: 5_000 });
    directory.removeExpired({ health: UNREACHABLE, nowMs: 60_000 });
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should remove a draining server whose entry vanishes even while the store is unreachable", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { state: "draining" }));
    directory.remove("a" as InstanceId, { health: UNREACHABLE, nowMs: 5_000 });
    assert.equal(directory.get("a" as InstanceId), undefined);
  });

  it("should not use a misdirected server until its entry is renewed", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.misdirected("a" as InstanceId);
    assert.deepEqual(namesOf(directory), []);
    directory.put(serverRecord("a"));
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should give no new work to an evacuated data centre until the evacuation ends", () => {
    const south = "south" as DataCentreId;
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.put(serverRecord("b", { dataCentre: south }));
    assert.equal(directory.setEvacuated(south, true), true);
    assert.equal(directory.setEvacuated(south, true), false);
    // Also to a server that is added during the evacuation.
    directory.put(serverRecord("c", { dataCentre: south }));
    assert.deepEqual(namesOf(directory), ["a"]);
    assert.equal(directory.isUsable("b" as InstanceId), false);
    assert.deepEqual(directory.serversIn(south).length, 2);
    directory.setEvacuated(south, false);
    assert.deepEqual(namesOf(directory), ["a", "b", "c"]);
  });

  it("should use no server where all data centres are evacuated", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.setEvacuated("north" as DataCentreId, true);
    assert.deepEqual(namesOf(directory), []);
    assert.notEqual(directory.get("a" as InstanceId), undefined);
  });

  it("should treat a server that restarted under its id as a new incarnation", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 1_000 }));
    const address = "10.0.0.9:1";
    const changes = directory.put(
      serverRecord("a", { bornMs: 2_000, address }),
    );
    assert.deepEqual(
      changes.map((change) =>
        change.tag === "removed" ? change.reason : change.tag
      ),
      ["restarted", "added"],
    );
    assert.equal(directory.usable(SERVICE)[0]?.address, address);
  });

  it("should ignore a late entry of an earlier incarnation", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 2_000 }));
    directory.put(serverRecord("a", { bornMs: 1_000, state: "draining" }));
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should use a misdirected server again once a new incarnation is listed", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 1_000 }));
    directory.misdirected("a" as InstanceId);
    directory.put(serverRecord("a", { bornMs: 2_000 }));
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should treat entries without a start time as the known incarnation", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 1_000 }));
    assert.deepEqual(directory.put(serverRecord("a")), []);
    assert.equal(directory.get("a" as InstanceId)?.bornMs, 1_000);
  });

  it("should give no new work to a server that has announced that it is leaving", () => {
    const directory = new ServerDirectory();
    const server = serverRecord("a", { bornMs: 5 });
    directory.put(server);
    directory.put(serverRecord("b"));
    const [change] = directory.markLeaving(server);
    assert.equal(change?.tag === "removed" && change.reason, "leaving");
    assert.deepEqual(directory.markLeaving(server), []);
    // The list lags, drops the entry, restores it, and omits its start time.
    directory.put({ ...server, slots: 9 });
    directory.remove(server.instance, { health: HEALTHY, nowMs: 10_000 });
    directory.put(server);
    directory.put({ ...server, bornMs: undefined });
    assert.deepEqual(namesOf(directory), ["b"]);
    assert.equal(directory.isUsable(server.instance), false);
    assert.equal(directory.get(server.instance)?.address, server.address);
  });

  it("should give work to a later incarnation of a server that has left", () => {
    const directory = new ServerDirectory();
    const server = serverRecord("a", { bornMs: 5 });
    directory.put(server);
    directory.markLeaving(server);
    directory.put({ ...server, bornMs: 6 });
    assert.deepEqual(namesOf(directory), ["a"]);
    // A late notice of the earlier incarnation.
    assert.deepEqual(directory.markLeaving(server), []);
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should treat a server that is listed again without a start time as a new incarnation", () => {
    const directory = new ServerDirectory();
    const server = serverRecord("a");
    directory.put(server);
    directory.markLeaving(server);
    directory.put({ ...server, slots: 9 });
    assert.deepEqual(namesOf(directory), []);
    directory.remove(server.instance, { health: HEALTHY, nowMs: 10_000 });
    directory.put(server);
    assert.deepEqual(namesOf(directory), ["a"]);
  });
});
