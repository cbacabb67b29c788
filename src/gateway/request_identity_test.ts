import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import type { AccountId } from "../core/ids.ts";
import { RequestIdentity, type RequestParts } from "./request_identity.ts";

const PARTS: RequestParts = {
  method: "POST",
  host: "shop.example",
  url: "/stock/1?a=1",
  account: "garden" as AccountId,
  body: Buffer.from("body"),
};

function keyOf(patch: Partial<RequestParts> = {}): string {
  return new RequestIdentity({ ...PARTS, ...patch }).key;
}

describe("request identity", () => {
  it("should be equal for equal parts", () => {
    assert.equal(keyOf(), keyOf({ body: Buffer.from("body") }));
  });

  it("should differ if any part differs", () => {
    const otherKeys = [
      keyOf({ method: "PUT" }),
      keyOf({ host: "other.example" }),
      keyOf({ url: "/stock/1?a=2" }),
      keyOf({ account: "other" as AccountId }),
      keyOf({ account: undefined }),
      keyOf({ body: Buffer.from("other") }),
      keyOf({ body: undefined }),
    ];
    assert.equal(new Set([keyOf(), ...otherKeys]).size, otherKeys.length + 1);
  });
});
