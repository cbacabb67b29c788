import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { unitHash } from "../../runtime/hashing.ts";
import { HashRing } from "./hash_ring.ts";

const SERVERS = Array.from({ length: 40 }, (_, at) => `i-${at}`);

function nearest(servers: readonly string[], key: string, count = 3) {
  const ring = new HashRing(unitHash);
  return ring.nearest(servers, { key, idOf: (id) => id, count });
}

describe("hash ring", () => {
  it("should find the same servers regardless of their order", () => {
    for (let n = 0; n < 50; n++) {
      const found = nearest(SERVERS, `key-${n}`);
      assert.equal(new Set(found).size, 3);
      assert.deepEqual(nearest([...SERVERS].reverse(), `key-${n}`), found);
    }
  });

  it("should move only the keys of a removed server", () => {
    for (let n = 0; n < 50; n++) {
      const [first, second, third] = nearest(SERVERS, `key-${n}`);
      const remaining = SERVERS.filter((id) => id !== first);
      assert.deepEqual(nearest(remaining, `key-${n}`, 2), [second, third]);
    }
  });

  it("should find all servers if there are fewer than requested", () => {
    assert.deepEqual(nearest(["a"], "key"), ["a"]);
    assert.deepEqual(nearest([], "key"), []);
  });
});
