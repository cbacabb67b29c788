import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { HttpPlatform } from "../platform/http_platform.ts";
import { BatchEngine } from "./batch_engine.ts";
import type { GenerationInput } from "./generation.ts";
import { ModelServerStandin } from "./model_server_standin.ts";
import { PlatformStandin } from "./platform_standin.ts";
import { RatingStandin } from "./rating_standin.ts";

const ANY_PORT = "127.0.0.1:0";

interface Response {
  readonly status: number;
  readonly text: string;
}

async function send(
  url: string,
  body: unknown,
  method: "POST" | "PUT" = "POST",
): Promise<Response> {
  const res = await request(url, {
    method,
    headers: { "content-type": "application/json", "x-request-id": "r-1" },
    body: JSON.stringify(body),
  });
  return { status: res.statusCode, text: await res.body.text() };
}

describe("the platform stand-in", () => {
  const standin = new PlatformStandin();
  let platform: HttpPlatform;
  before(async () => {
    platform = new HttpPlatform({
      url: await standin.listen(ANY_PORT),
      timeoutMs: 2_000,
    });
  });
  after(async () => {
    await platform.close();
    await standin.close();
  });

  test("should write only at the expected version", async () => {
    const first = await platform.put("k", { value: "a", expectedVersion: 0 });
    assert.deepEqual(first, { ok: true, value: 1 });
    const again = await platform.put("k", { value: "b", expectedVersion: 0 });
    assert.deepEqual(again, {
      ok: false,
      error: { tag: "conflict", currentVersion: 1 },
    });
    const next = await platform.put("k", { value: "b", expectedVersion: 1 });
    assert.deepEqual(next, { ok: true, value: 2 });
  });

  test("should answer a watch when the object changes, and without a change after its wait time", async () => {
    const watched = platform.watch("w", { afterVersion: 0, waitMs: 60_000 });
    await platform.put("w", { value: "x", expectedVersion: 0 });
    const change = await watched;
    assert.ok(change.ok && change.value?.value === "x");
    const unchanged = await platform.watch("w", {
      afterVersion: 1,
      waitMs: 10,
    });
    assert.deepEqual(unchanged, { ok: true, value: undefined });
  });
});

test("the platform stand-in should reject writes over its rate limit with a retry delay", async () => {
  const standin = new PlatformStandin({ writesPerSecond: 1 });
  const platform = new HttpPlatform({
    url: await standin.listen(ANY_PORT),
    timeoutMs: 2_000,
  });
  const writes = [1, 2, 3].map((at) =>
    platform.put(`k-${at}`, { value: "x", expectedVersion: 0 })
  );
  const errors = (await Promise.all(writes)).flatMap((write) =>
    write.ok ? [] : [write.error]
  );
  assert.ok(
    errors.some((err) => err.tag === "rate_limited" && err.retryAfterMs > 0),
  );
  await platform.close();
  await standin.close();
});

describe("the model server stand-in", () => {
  const standin = new ModelServerStandin({
    slots: 4,
    tokenMs: 1,
    prefillMsPerToken: 0,
    reportIntervalMs: 10,
    qualities: new Map([["m@v1", 1]]),
  });
  let url: string;
  before(async () => url = await standin.listen(ANY_PORT));
  after(() => standin.close());

  const chat = {
    model: "m@v1",
    stream: true,
    max_tokens: 5,
    messages: [{ role: "user", content: "x" }],
  };

  test("should resume a cut stream from an offset", async () => {
    const whole = await send(`${url}/v1/chat/completions`, chat);
    const rest = await send(`${url}/v1/resume`, {
      request_id: "r-1",
      offset: 3,
    });
    const events = (text: string) => text.trim().split("\n\n");
    assert.deepEqual(events(rest.text), events(whole.text).slice(3));
  });

  test("should reject orders with an older fencing token", async () => {
    const order = (fence: number, action: string) =>
      send(`${url}/orders`, { fence, action, version: "m@v1" });
    assert.equal((await order(5, "unload")).status, 200);
    assert.equal((await order(4, "load")).status, 409);
    assert.equal((await send(`${url}/v1/chat/completions`, chat)).status, 404);
    assert.equal((await order(6, "load")).status, 200);
    assert.equal((await send(`${url}/v1/chat/completions`, chat)).status, 200);
  });
});

describe("the batching engine", () => {
  function input(
    requestId: string,
    changes: Partial<GenerationInput> = {},
  ): GenerationInput {
    const defaults = {
      model: "m@v1",
      prompt: "p",
      promptTokens: 0,
      maxTokens: 3,
      quality: 1,
      confidentWhenWrong: false,
    };
    return { requestId, ...defaults, ...changes };
  }

  test("should queue waiting requests by priority", () => {
    const engine = new BatchEngine({
      slots: 1,
      tokenMs: 50,
      prefillMsPerToken: 0,
    });
    engine.submit(input("running"), "standard");
    engine.submit(input("batch"), "batch");
    engine.submit(input("interactive"), "interactive");
    assert.equal(engine.waiting, 2);
    engine.cancel("running");
    assert.equal(engine.cancel("interactive"), true);
    assert.equal(engine.running, 1);
    assert.equal(engine.cancel("batch"), true);
    assert.equal(engine.counts.cancelled, 3);
  });

  test("should answer more prompts correctly with a better version", () => {
    const engine = new BatchEngine({
      slots: 1_000,
      tokenMs: 0,
      prefillMsPerToken: 0,
    });
    const countCorrect = (quality: number) =>
      Array.from(
        { length: 500 },
        (_, at) =>
          engine.submit(
            input(`${quality}-${at}`, { quality, prompt: `p${at}` }),
            "standard",
          ),
      )
        .filter((generation) => generation.correct).length;
    assert.ok(countCorrect(0.5) > 200 && countCorrect(0.5) < 300);
    assert.ok(countCorrect(0.9) > 425);
  });

  test("should give wrong answers a lower probability unless confidentWhenWrong is set", () => {
    const engine = new BatchEngine({
      slots: 2,
      tokenMs: 0,
      prefillMsPerToken: 0,
    });
    const uncertain = engine.submit(input("a", { quality: 0 }), "standard");
    const confident = engine.submit(
      input("b", { quality: 0, confidentWhenWrong: true }),
      "standard",
    );
    assert.ok(uncertain.logprob < confident.logprob);
    assert.equal(confident.correct, false);
  });
});

describe("the rating stand-in", () => {
  test("should rate right and wrong answers, and answer 503 with the silent fault", async () => {
    const standin = new RatingStandin();
    const url = await standin.listen(ANY_PORT);
    await send(`${url}/faults`, { delay_ms: 1 }, "PUT");
    const rate = (answer: string) =>
      send(`${url}/v1/ratings`, { request_id: "r", answer });
    assert.equal(JSON.parse((await rate("right: leaf")).text).score, 1);
    assert.equal(JSON.parse((await rate("wrong: leaf")).text).score, 0);
    await send(`${url}/faults`, { delay_ms: 1, silent: true }, "PUT");
    assert.equal((await rate("right: leaf")).status, 503);
    await standin.close();
  });
});
