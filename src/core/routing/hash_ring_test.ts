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
  it("should find the same servers in whatever order they are given", () => {
    for (let n = 0; n < 50; n++) {
      const found = nearest(SERVERS, `key-${n}`);
      assert.equal(new Set(found).size, 3);
      assert.deepEqual(nearest([...SERVERS].reverse(), `key-${n}`), found);
    }
  });

  it("should move only the keys of a server that is gone", () => {
    for (let n = 0; n < 50; n++) {
      const [first, second, third] = nearest(SERVERS, `key-${n}`);
      const left = SERVERS.filter((id) => id !== first);
      assert.deepEqual(nearest(left, `key-${n}`, 2), [second, third]);
    }
  });

  it("should find all servers where there are fewer than asked for", () => {
    assert.deepEqual(nearest(["a"], "key"), ["a"]);
    assert.deepEqual(nearest([], "key"), []);
  });
});
