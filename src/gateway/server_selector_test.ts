import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeCallerHead } from "../platform/header_wire.ts";
import { sessionOf } from "./server_selector.ts";

function sessionFor(parts: string): string | undefined {
  return sessionOf(decodeCallerHead({ "fieldrack-prefix-hash": parts }));
}

describe("session of a request", () => {
  it("should be the last part that other requests share, not the request's own", () => {
    const first = sessionFor("aa:2520,bb:3780,01:2890");
    const second = sessionFor("aa:2520,bb:3780,02:1200");
    assert.equal(first, "bb");
    assert.equal(second, first);
  });

  it("should be the only part where there is one, and none without parts", () => {
    assert.equal(sessionFor("aa:2520"), "aa");
    assert.equal(sessionFor(""), undefined);
  });
});
