import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { text as readAll } from "node:stream/consumers";
import { after, before, describe, test } from "node:test";
import { Caller } from "./fixtures/caller.ts";
import { runFieldrack } from "./fixtures/fieldrack_process.ts";
import { hashKey, TestFleet } from "./fixtures/test_fleet.ts";

const KEY = "key-of-the-nursery";
const RESTRICTED_KEY = "key-without-models";
const HARD_PROMPT_QUALITY = 0;

const configuration = {
  accounts: [
    {
      id: "nursery",
      keys: [hashKey(KEY)],
      models: ["small", "large", "both", "orphan"],
      services: ["tills"],
    },
    { id: "poor", keys: [hashKey(RESTRICTED_KEY)], models: ["large"] },
  ],
  models: [
    { id: "small", stable: "v1", versions: [{ id: "v1" }] },
    { id: "large", stable: "v1", versions: [{ id: "v1" }] },
    { id: "orphan", stable: "v1", versions: [{ id: "v1" }] },
  ],
  cascades: [{ id: "both", steps: ["small", "large"], judge_tokens: 3 }],
  services: [{
    id: "tills",
    routes: [
      { path: "/stock/", methods: ["GET"], repeatable: true },
      { path: "/stamps", methods: ["POST"], repeatable: false },
    ],
  }],
};

describe("a fleet of separate processes", () => {
  let fleet: TestFleet;
  let caller: Caller;

  before(async () => {
    fleet = await TestFleet.start({
      entries: [
        { id: "entry-1", data_centre: "qc-hall" },
        { id: "entry-2", data_centre: "pasig-hall" },
        { id: "entry-3", data_centre: "laguna-hall" },
      ],
      backends: [
        {
          id: "small-1",
          data_centre: "qc-hall",
          version: "small@v1",
          quality: HARD_PROMPT_QUALITY,
        },
        {
          id: "small-2",
          data_centre: "pasig-hall",
          version: "small@v1",
          quality: HARD_PROMPT_QUALITY,
        },
        { id: "large-1", data_centre: "qc-hall", version: "large@v1" },
        { id: "large-2", data_centre: "laguna-hall", version: "large@v1" },
        { id: "till-1", data_centre: "qc-hall", service: "tills" },
      ],
      configuration,
    });
    caller = new Caller(fleet.entry("entry-1").callers, KEY);
  });

  after(() => fleet.stop());

  test("should answer with JSON that identifies request, model and version", async () => {
    const answer = await caller.chat("large");
    assert.equal(answer.status, 200);
    assert.match(answer.json.choices[0].message.content, /^right:/);
    assert.equal(answer.headers["fieldrack-model"], "large");
    assert.equal(answer.headers["fieldrack-version"], "v1");
    assert.equal(answer.json.id, answer.headers["fieldrack-request-id"]);
  });

  test("should stream an answer up to the end marker", async () => {
    const answer = await caller.chat("large", { stream: true });
    assert.equal(
      answer.headers["content-type"],
      "text/event-stream; charset=utf-8",
    );
    const events = answer.text.trim().split("\n\n");
    assert.equal(events.at(-1), "data: [DONE]");
    const text = events.slice(0, -1)
      .map((event) =>
        JSON.parse(event.slice("data: ".length)).choices[0].delta.content ?? ""
      )
      .join("");
    assert.equal(text.split(" ").length, 6);
    assert.match(text, /^right:/);
  });

  for (const stream of [false, true]) {
    const form = stream ? "stream" : "JSON";
    test(`should escalate a cascade when the smaller model's answer is poor (${form})`, async () => {
      const answer = await caller.chat("both", { stream });
      assert.equal(answer.status, 200);
      assert.equal(answer.headers["fieldrack-model"], "large");
      assert.doesNotMatch(answer.text, /wrong:/);
      assert.doesNotMatch(answer.text, /"logprob"/);
    });
  }

  test("should forward requests to a plain service", async () => {
    const answer = await caller.call("/services/tills/stock/12?hall=qc");
    assert.equal(answer.status, 200);
    assert.deepEqual(answer.json, {
      method: "GET",
      path: "/stock/12?hall=qc",
      runs: 1,
    });
  });

  test("should refuse paths with dot segments that leave a service's routes", async () => {
    for (
      const path of [
        "/stock/../stamps",
        "/stock/%2e%2e/stamps",
        "/stock/./../admin",
      ]
    ) {
      const [host, port] = fleet.entry("entry-1").callers.split(":");
      const raw = connect(Number(port), host);
      raw.write(
        `GET /services/tills${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n` +
          "connection: close\r\n\r\n",
      );
      assert.match(await readAll(raw), /^HTTP\/1\.1 404 /);
    }
  });

  test("should run a non-repeatable request only once when its response is lost", async () => {
    await fleet.setFaults("till-1", { cut_after_effect: true });
    const answer = await caller.call("/services/tills/stamps", {
      method: "POST",
      headers: { "idempotency-key": "stamp-1" },
      body: {},
    });
    await fleet.setFaults("till-1", {});
    assert.equal(answer.status, 502);
    assert.equal(answer.json.error.ran, "maybe");
    assert.equal((await fleet.counts("till-1"))["stamp-1"], 1);
  });

  test("should return the addresses of all entries, nearest first", async () => {
    const { json } = await caller.call("/addresses?data_centre=pasig-hall");
    assert.equal(json.addresses[0].address, fleet.entry("entry-2").callers);
    assert.equal(json.addresses.length, 3);
    assert.ok(json.max_age > 0);
  });

  test("should refuse a wrong key", async () => {
    const answer = await new Caller(fleet.entry("entry-2").callers, "no").chat(
      "large",
    );
    assert.equal(answer.status, 401);
    assert.equal(answer.json.error.code, "unauthorised");
    assert.equal(answer.json.error.ran, "no");
  });

  test("should refuse a model that the account may not use", async () => {
    const answer = await new Caller(
      fleet.entry("entry-3").callers,
      RESTRICTED_KEY,
    )
      .chat("small");
    assert.equal(answer.status, 403);
  });

  test("should refuse a service that the account may not use", async () => {
    const poor = new Caller(fleet.entry("entry-3").callers, RESTRICTED_KEY);
    assert.equal((await poor.call("/services/tills/stock/1")).status, 403);
  });

  test("should refuse an unknown model, service and route", async () => {
    assert.equal((await caller.chat("nothing")).status, 404);
    assert.equal((await caller.call("/services/nothing/x")).status, 404);
    assert.equal((await caller.call("/services/tills/x")).status, 404);
    assert.equal((await caller.call("/nothing")).status, 404);
  });

  const BAD_UTF8 = new Uint8Array([0x7b, 0x22, 0xff, 0x22, 0x7d]);
  const malformed: [string, unknown, string][] = [
    ["broken JSON", '{"model":', "body"],
    ["bad UTF-8", BAD_UTF8, "body"],
    ["an empty body", "", "body"],
    ["a wrong type", { model: 5, messages: [] }, "model"],
    [
      "a wrong role",
      { model: "large", messages: [{ role: "x", content: "" }] },
      "messages.0.role",
    ],
  ];
  for (const [description, body, location] of malformed) {
    test(`should refuse ${description} and report its location`, async () => {
      const answer = await caller.call("/v1/chat/completions", {
        method: "POST",
        body,
      });
      assert.equal(answer.status, 400);
      assert.equal(answer.json.error.where, location);
      assert.equal(answer.json.error.ran, "no");
    });
  }

  test("should refuse invalid header values", async () => {
    const bad: Record<string, string>[] = [
      { "fieldrack-deadline-ms": "soon" },
      { "fieldrack-session": "a b" },
    ];
    for (const headers of bad) {
      const answer = await caller.call("/v1/chat/completions", {
        method: "POST",
        headers,
        body: {},
      });
      assert.equal(answer.status, 400);
      assert.match(answer.json.error.where, /^header fieldrack-/);
    }
  });

  test("should refuse a body over the limit and keep serving", async () => {
    const body = Buffer.alloc(9 * 1024 * 1024, "x");
    const answer = await caller.call("/v1/chat/completions", {
      method: "POST",
      body,
    });
    assert.equal(answer.status, 413);
    assert.equal((await caller.chat("large")).status, 200);
  });

  test("should return a retry time when a model has no server", async () => {
    const answer = await caller.chat("orphan");
    assert.equal(answer.status, 503);
    assert.equal(answer.json.error.ran, "no");
    assert.ok(answer.json.error.retry_after_ms > 0);
    assert.ok(Number(answer.headers["retry-after"]) >= 1);
  });

  test("should show the state of the fleet to operators", async () => {
    const { operators } = fleet.entry("entry-1");
    const { code, stdout } = await runFieldrack(
      "status",
      "--entry",
      operators,
      "--json",
    );
    assert.equal(code, 0);
    const [status] = JSON.parse(stdout).statuses;
    assert.equal(status.revision, 1);
    assert.equal(status.members.length, 3);
  });

  test("should log a state change as one line of JSON", () => {
    const lines = fleet.entry("entry-1").process.stderr.split("\n").slice(
      0,
      -1,
    );
    const messages = lines.map((line) => JSON.parse(line).message);
    assert.ok(messages.includes("Configuration is in force"), messages.join());
  });

  test("should refuse a wrong key on the peer interface", async () => {
    const answer = await new Caller(fleet.entry("entry-1").peers, "guess").call(
      "/head",
    );
    assert.equal(answer.status, 401);
  });
});
