import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import type { AccountId, PromptPartId, ServiceId } from "../core/ids.ts";
import {
  type RequestFields,
  RequestIdentity,
  type RequestPrompt,
} from "./request_identity.ts";

const FIELDS: RequestFields = {
  method: "POST",
  host: "shop.example",
  url: "/stock/1?a=1",
  account: "garden" as AccountId,
  body: Buffer.from("body"),
};

const PROMPT: RequestPrompt = { service: "llm" as ServiceId, parts: [] };

function partsOf(...ids: string[]): readonly string[] {
  const parts = ids.map((id) => ({ id: id as PromptPartId }));
  return new RequestIdentity(FIELDS, { ...PROMPT, parts }).parts;
}

function keyOf(patch: Partial<RequestFields> = {}): string {
  return new RequestIdentity({ ...FIELDS, ...patch }, PROMPT).key;
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

  it("should hold the prompt parts that other requests may share", () => {
    assert.deepEqual(partsOf(), []);
    assert.deepEqual(partsOf("own"), []);
    assert.deepEqual(partsOf("a", "b", "a", "own"), ["llm/a", "llm/b"]);
  });

  // Guards against BUDGET: a part behind 32 others crashed servers and was never suspected.
  it("should hold a prompt part behind any number of others", () => {
    const many = Array.from({ length: 1_800 }, (_, n) => `${n}`);
    const expected = many.map((id) => `llm/${id}`);
    assert.deepEqual(partsOf(...many, "own"), expected);
  });

  it("should bound the length of prompt parts", () => {
    const [long = ""] = partsOf("x".repeat(10_000), "own");
    assert.ok(long.length < 100);
    assert.notEqual(long, partsOf("x".repeat(10_001), "own")[0]);
  });
});
