import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { InstanceId } from "../ids.ts";
import { PromptHolders } from "./prompt_holders.ts";

const A = "i-a" as InstanceId;
const B = "i-b" as InstanceId;

let holders: PromptHolders;

beforeEach(() => {
  holders = new PromptHolders();
});

describe("prompt holders", () => {
  it("should return the servers that this VM or others sent a prompt to", () => {
    holders.recordSent({ key: "m/1", instance: A }, 0);
    holders.mergeAdvertised([{ key: "m/1", instance: B }], 100);
    assert.deepEqual([...holders.holdersOf("m/1", 200)], [A, B]);
    assert.deepEqual([...holders.holdersOf("m/2", 200)], []);
  });

  it("should expire a holder that has not been used recently", () => {
    holders.recordSent({ key: "m/1", instance: A }, 0);
    holders.recordSent({ key: "m/1", instance: A }, 15_000);
    assert.equal(holders.holdersOf("m/1", 30_000).size, 1);
    assert.equal(holders.holdersOf("m/1", 36_000).size, 0);
  });

  it("should advertise its own new holders for a limited time, and never those of others", () => {
    holders.recordSent({ key: "m/1", instance: A }, 0);
    holders.mergeAdvertised([{ key: "m/2", instance: B }], 0);
    assert.deepEqual(holders.holdersToAdvertise(1_000), [{
      key: "m/1",
      instance: A,
    }]);
    holders.recordSent({ key: "m/1", instance: A }, 3_000);
    assert.deepEqual(holders.holdersToAdvertise(3_000), []);
  });

  it("should keep a bounded number of prompts, the most recently used", () => {
    for (let n = 0; n < 30_000; n++) {
      holders.recordSent({ key: `m/${n}`, instance: A }, n / 100);
    }
    assert.equal(holders.holdersOf("m/0", 300).size, 0);
    assert.equal(holders.holdersOf("m/29999", 300).size, 1);
  });

  it("should not return a server for prompts sent to an earlier incarnation of it", () => {
    holders.recordSent({ key: "m/1", instance: A }, 0);
    holders.recordServerEnd(A, 100);
    assert.deepEqual([...holders.holdersOf("m/1", 200)], []);
    holders.recordSent({ key: "m/1", instance: A }, 300);
    assert.deepEqual([...holders.holdersOf("m/1", 400)], [A]);
  });
});
