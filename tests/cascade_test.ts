import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { Caller } from "./fixtures/caller.ts";
import { hashKey, TestFleet } from "./fixtures/test_fleet.ts";

const KEY = "key-of-the-nursery";

describe("a cascade whose larger model has no server", () => {
  let fleet: TestFleet;

  before(async () => {
    fleet = await TestFleet.start({
      entries: [{ id: "entry-1", data_centre: "qc-hall" }],
      backends: [{
        id: "small-1",
        data_centre: "qc-hall",
        version: "small@v1",
        quality: 0,
      }],
      configuration: {
        accounts: [{ id: "a", keys: [hashKey(KEY)], models: ["both"] }],
        models: ["small", "large"].map((id) => ({
          id,
          stable: "v1",
          versions: [{ id: "v1" }],
        })),
        cascades: [{ id: "both", steps: ["small", "large"] }],
      },
    });
  });

  after(() => fleet.stop());

  test("should return the low-quality answer of the smaller model and count the escalation", async () => {
    const { callers, operators } = fleet.entry("entry-1");
    const answer = await new Caller(callers, KEY).chat("both");
    assert.equal(answer.status, 200);
    assert.equal(answer.headers["fieldrack-model"], "small");
    const metrics = await (await request(`http://${operators}/metrics`)).body
      .text();
    assert.match(
      metrics,
      /fieldrack_answers_total\{model="small",version="v1"\} 1/,
    );
    assert.match(
      metrics,
      /fieldrack_escalations_total\{model="small",reason="poor"\} 1/,
    );
  });
});
