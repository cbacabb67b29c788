import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DataCentreId, InstanceId, ServiceId } from "../ids.ts";
import { RELISTING_GRACE_MS, ServerDirectory } from "./server_directory.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const SERVICE = "tracker" as ServiceId;
const HEALTHY = { reachable: true, recoveredAtMs: undefined };
const AWAY = { reachable: false, recoveredAtMs: undefined };

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

  it("should drop a server whose entry goes while the store is healthy", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.remove("a" as InstanceId, { health: HEALTHY, nowMs: 10_000 });
    assert.deepEqual(namesOf(directory), []);
  });

  it("should keep a server that lapsed with the store until it can be listed again", () => {
    const directory = new ServerDirectory();
    directory.replaceAll([serverRecord("a"), serverRecord("b")], {
      health: HEALTHY,
      nowMs: 0,
    });
    const back = { reachable: true, recoveredAtMs: 10_000 };
    directory.replaceAll([serverRecord("b")], { health: back, nowMs: 10_000 });
    assert.deepEqual(namesOf(directory), ["a", "b"]);
    directory.removeExpired({
      health: back,
      nowMs: 10_000 + RELISTING_GRACE_MS - 1,
    });
    assert.deepEqual(namesOf(directory), ["a", "b"]);
    directory.removeExpired({
      health: back,
      nowMs: 10_000 + RELISTING_GRACE_MS,
    });
    assert.deepEqual(namesOf(directory), ["b"]);
  });

  it("should keep lapsed servers as long as the store is away", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.remove("a" as InstanceId, { health: AWAY, nowMs: 5_000 });
    directory.removeExpired({ health: AWAY, nowMs: 60_000 });
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should drop a draining server whose entry goes even while the store is away", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { state: "draining" }));
    directory.remove("a" as InstanceId, { health: AWAY, nowMs: 5_000 });
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

  it("should give no new work to an evacuated data centre until it returns", () => {
    const south = "south" as DataCentreId;
    const directory = new ServerDirectory();
    directory.put(serverRecord("a"));
    directory.put(serverRecord("b", { dataCentre: south }));
    assert.equal(directory.setEvacuated(south, true), true);
    assert.equal(directory.setEvacuated(south, true), false);
    // Also a server that comes while the order holds.
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

  it("should take a server that started again under its id for another life", () => {
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

  it("should not go back to an earlier life of which it learns late", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 2_000 }));
    directory.put(serverRecord("a", { bornMs: 1_000, state: "draining" }));
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should use a server that was misdirected once it tells of a new life", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 1_000 }));
    directory.misdirected("a" as InstanceId);
    directory.put(serverRecord("a", { bornMs: 2_000 }));
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should take entries without a birth for the life that is known", () => {
    const directory = new ServerDirectory();
    directory.put(serverRecord("a", { bornMs: 1_000 }));
    assert.deepEqual(directory.put(serverRecord("a")), []);
    assert.equal(directory.get("a" as InstanceId)?.bornMs, 1_000);
  });

  it("should give no new work to a server that has said that it leaves", () => {
    const directory = new ServerDirectory();
    const server = serverRecord("a", { bornMs: 5 });
    directory.put(server);
    directory.put(serverRecord("b"));
    const [change] = directory.markLeaving(server);
    assert.equal(change?.tag === "removed" && change.reason, "leaving");
    assert.deepEqual(directory.markLeaving(server), []);
    // The list lags, lapses and returns, and says nothing of its birth.
    directory.put({ ...server, slots: 9 });
    directory.remove(server.instance, { health: HEALTHY, nowMs: 10_000 });
    directory.put(server);
    directory.put({ ...server, bornMs: undefined });
    assert.deepEqual(namesOf(directory), ["b"]);
    assert.equal(directory.isUsable(server.instance), false);
    assert.equal(directory.get(server.instance)?.address, server.address);
  });

  it("should give work to a later life of a server that has left", () => {
    const directory = new ServerDirectory();
    const server = serverRecord("a", { bornMs: 5 });
    directory.put(server);
    directory.markLeaving(server);
    directory.put({ ...server, bornMs: 6 });
    assert.deepEqual(namesOf(directory), ["a"]);
    // Late word of the life before.
    assert.deepEqual(directory.markLeaving(server), []);
    assert.deepEqual(namesOf(directory), ["a"]);
  });

  it("should take one that comes back without a birth for another life", () => {
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
