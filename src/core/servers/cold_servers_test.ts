import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { InstanceId } from "../ids.ts";
import { ColdServers } from "./cold_servers.ts";

const SERVER = "i-1" as InstanceId;

describe("cold servers", () => {
  it("should treat a server as cold for as long as it reports", () => {
    const servers = new ColdServers();
    assert.equal(servers.markCold(SERVER, { leftMs: 3_000, nowMs: 100 }), true);
    assert.equal(servers.leftMs(SERVER, 1_100), 2_000);
    assert.equal(servers.leftMs(SERVER, 3_100), 0);
    assert.equal(servers.count(3_100), 0);
  });

  it("should not treat a server as warm because of an outdated report", () => {
    const servers = new ColdServers();
    servers.markCold(SERVER, { leftMs: 3_000, nowMs: 0 });
    assert.equal(servers.markCold(SERVER, { leftMs: 0, nowMs: 1_000 }), false);
    assert.equal(
      servers.markCold(SERVER, { leftMs: 500, nowMs: 1_000 }),
      false,
    );
    assert.equal(servers.leftMs(SERVER, 1_000), 2_000);
  });

  it("should mark a server as cold again after it was warm", () => {
    const servers = new ColdServers();
    servers.markCold(SERVER, { leftMs: 3_000, nowMs: 0 });
    assert.equal(
      servers.markCold(SERVER, { leftMs: 3_000, nowMs: 10_000 }),
      true,
    );
    assert.equal(servers.count(10_000), 1);
  });
});
