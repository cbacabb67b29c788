import assert from "node:assert/strict";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { after, before, describe, test } from "node:test";
import { Caller } from "./fixtures/caller.ts";
import { hashKey, TestFleet, until } from "./fixtures/test_fleet.ts";

const KEY = "key-of-the-nursery";
const TOKEN_MS = 2;
/** Chunks of 64 KiB that the largest body has by default. */
const MAX_BODY_CHUNKS = 128;

describe("an entry with misbehaving clients", () => {
  let fleet: TestFleet;
  let address: string;

  before(async () => {
    fleet = await TestFleet.start({
      entries: [{ id: "entry-1", data_centre: "qc-hall" }],
      backends: [{
        id: "m-1",
        data_centre: "qc-hall",
        version: "m@v1",
        tokenMs: TOKEN_MS,
      }],
      configuration: {
        accounts: [{
          id: "a",
          keys: [hashKey(KEY)],
          models: ["m"],
          max_in_flight: 2,
        }],
        models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
      },
      settings: { limits: { header_timeout_ms: 300, body_timeout_ms: 300 } },
    });
    address = fleet.entry("entry-1").callers;
  });

  after(() => fleet.stop());

  async function sendRaw(bytes: string): Promise<string> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.write(bytes);
    return await text(socket);
  }

  function statusAndError(
    answer: string,
  ): [string | undefined, { code: string; ran: string }] {
    const [head = "", body = ""] = answer.split("\r\n\r\n");
    return [head.split(" ")[1], JSON.parse(body).error];
  }

  const malformedInputs: [string, string, string, string][] = [
    [
      "incomplete headers",
      "GET /addresses HTTP/1.1\r\n",
      "408",
      "too_slow",
    ],
    [
      "an incomplete body",
      "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{",
      "408",
      "too_slow",
    ],
    ["input that is not HTTP", "hello\r\n\r\n", "400", "malformed"],
    [
      "oversized headers",
      `GET / HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
      "400",
      "malformed",
    ],
  ];
  for (const [description, bytes, status, code] of malformedInputs) {
    test(`should answer ${description} with an error and keep serving`, async () => {
      const [gotStatus, err] = statusAndError(await sendRaw(bytes));
      assert.equal(gotStatus, status);
      assert.equal(err.code, code);
      assert.equal(err.ran, "no");
      assert.equal((await new Caller(address, KEY).chat("m")).status, 200);
    });
  }

  // Guards against a connection that is reset before its caller could read why its body was refused.
  test("should answer a body without a length that is too large, while it still arrives", async () => {
    const head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
      "transfer-encoding: chunked\r\n\r\n";
    const chunk = `10000\r\n${"x".repeat(65_536)}\r\n`;
    const [status, err] = statusAndError(
      await sendRaw(head + chunk.repeat(MAX_BODY_CHUNKS + 4)),
    );
    assert.equal(status, "413");
    assert.equal(err.code, "too_large");
    assert.equal(err.ran, "no");
  });

  test("should immediately refuse requests beyond the account's in-flight limit", async () => {
    const caller = new Caller(address, KEY);
    const long = {
      model: "m",
      max_tokens: 200,
      messages: [{ role: "user", content: "x" }],
    };
    const send = () =>
      caller.call("/v1/chat/completions", { method: "POST", body: long });
    const answers = await Promise.all([send(), send(), send(), send()]);
    const refused = answers.filter(({ status }) => status === 429);
    assert.equal(refused.length, 2);
    for (const { json } of refused) {
      assert.equal(json.error.ran, "no");
      assert.ok(json.error.retry_after_ms > 0);
    }
  });

  test("should cancel the backend request when the client disconnects", async () => {
    const before = Number((await fleet.counts("m-1")).cancelled);
    const [host, port] = address.split(":");
    const body = JSON.stringify({
      model: "m",
      stream: true,
      max_tokens: 100_000,
      messages: [{ role: "user", content: "x" }],
    });
    const socket = connect(Number(port), host);
    socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
    await new Promise((resolve) => socket.once("data", resolve));
    socket.destroy();
    await until(async () =>
      Number((await fleet.counts("m-1")).cancelled) === before + 1
    );
  });

  test("should stop at the client's deadline and report that the request may have run", async () => {
    const answer = await new Caller(address, KEY).call("/v1/chat/completions", {
      method: "POST",
      headers: { "fieldrack-deadline-ms": "50" },
      body: {
        model: "m",
        max_tokens: 100_000,
        messages: [{ role: "user", content: "x" }],
      },
    });
    assert.equal(answer.status, 504);
    assert.equal(answer.json.error.code, "deadline");
    assert.equal(answer.json.error.ran, "maybe");
  });

  test("should end a truncated stream with an error event instead of the end marker", async () => {
    await fleet.setFaults("m-1", { cut_after_tokens: 3 });
    const cut = await new Caller(address, KEY).chat("m", { stream: true });
    await fleet.setFaults("m-1", { end_after_tokens: 3 });
    const ended = await new Caller(address, KEY).chat("m", { stream: true });
    await fleet.setFaults("m-1", {});
    for (const { text } of [cut, ended]) {
      assert.doesNotMatch(text, /\[DONE\]/);
      assert.match(text, /event: error\ndata: \{"error":\{"code":"stream_cut"/);
    }
  });

  test("should not forward a response that belongs to another request", async () => {
    await fleet.setFaults("m-1", { wrong_id: true });
    const whole = await new Caller(address, KEY).chat("m");
    const stream = await new Caller(address, KEY).chat("m", { stream: true });
    await fleet.setFaults("m-1", {});
    assert.equal(whole.status, 502);
    // The only server may have been ejected by then, which gives a 503.
    assert.ok(stream.status === 502 || stream.status === 503);
    assert.doesNotMatch(whole.text + stream.text, /right:/);
  });
});
