import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import type { AccountId } from "../core/ids.ts";
import { type RepeatedParts, RequestIdentity } from "./request_identity.ts";

const PARTS: RepeatedParts = {
  method: "POST",
  host: "shop.example",
  url: "/stock/1?a=1",
  account: "garden" as AccountId,
  body: Buffer.from("body"),
};

function keyOf(patch: Partial<RepeatedParts> = {}): string {
  return new RequestIdentity({ ...PARTS, ...patch }).key;
}

describe("identity of a request", () => {
  it("should be the same for the same parts", () => {
    assert.equal(keyOf(), keyOf({ body: Buffer.from("body") }));
  });

  it("should differ by each part that callers repeat", () => {
    const others = [
      keyOf({ method: "PUT" }),
      keyOf({ host: "other.example" }),
      keyOf({ url: "/stock/1?a=2" }),
      keyOf({ account: "other" as AccountId }),
      keyOf({ account: undefined }),
      keyOf({ body: Buffer.from("other") }),
      keyOf({ body: undefined }),
    ];
    assert.equal(new Set([keyOf(), ...others]).size, others.length + 1);
  });
});
