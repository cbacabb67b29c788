/**
 * Guards against long or many events that are lost or changed because they come in tiny chunks: what
 * keeps the work for each received byte small must not change what is delivered.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { after, before, describe, it } from "node:test";
import {
  answerBytes,
  ATTEMPT,
  chunkBytes,
  routeWire,
  STREAM_ROUTE,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const LONG_BYTES = 200_000;
const EVENTS = 5_000;
const BODY_CHUNKS = 2_000;
const WAIT_MS = 20_000;
const HEAD =
  `HTTP/1.1 200 OK\r\nFieldrack-Attempt-Id: ${ATTEMPT}\r\nFieldrack-Server-Seal: s\r\n`;
const STREAM_HEAD =
  `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const LAST_CHUNK = "0\r\n\r\n";

/** Encodes a text as chunks of a few bytes each. */
function chunksOf(text: string, bytes: number): string {
  const units = text.match(new RegExp(`[^]{1,${bytes}}`, "g")) ?? [];
  return units.map(chunkBytes).join("");
}

const LONG_EVENT = `id: 1\ndata: ${"z".repeat(LONG_BYTES)}\n\n`;
const COMMENTS = `${": z\n".repeat(LONG_BYTES / 4)}id: 1\ndata: a\n\n`;
const MANY_EVENTS = Array.from(
  { length: EVENTS },
  (_, n) => `id: ${n}\ndata: a\n\n`,
).join("");

const STREAMS: Readonly<Record<string, { text: string; bytes: number }>> = {
  "a long event in chunks of two bytes": { text: LONG_EVENT, bytes: 2 },
  "an event with many comments, a chunk each": { text: COMMENTS, bytes: 4 },
  "many events in chunks of three bytes": { text: MANY_EVENTS, bytes: 3 },
  "many events in one chunk": { text: MANY_EVENTS, bytes: MANY_EVENTS.length },
};

describe("a sound message in tiny chunks", () => {
  const gateway = new TestGateway();
  let response = answerBytes();
  let received = "";

  before(async () => {
    await gateway.addServer("i-1", ({ text, socket }) => {
      received = text;
      socket.write(text.startsWith("GET /-/") ? answerBytes() : response);
    });
    await gateway.start([
      { ...STREAM_ROUTE, Name: "r-stream", PathPrefix: "/stream/" },
      routeWire({ Name: "r-plain" }),
    ]);
    await until(async () => (await gateway.call("/stock/1")).status === 200);
  });

  after(() => gateway.stop());

  for (const [name, { text, bytes }] of Object.entries(STREAMS)) {
    it(`should be delivered whole: ${name}`, async () => {
      response = STREAM_HEAD + chunksOf(text, bytes) + LAST_CHUNK;
      const res = await gateway.call("/stream/1", { waitMs: WAIT_MS });
      assert.equal(res.status, 200);
      assert.ok(res.body === text);
    });
  }

  it("should be delivered whole: a body in chunks of one byte", async () => {
    const body = "b".repeat(BODY_CHUNKS);
    response = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${
      chunksOf(body, 1)
    }${LAST_CHUNK}`;
    const res = await gateway.call("/stock/1", { waitMs: WAIT_MS });
    assert.deepEqual([res.status, res.body], [200, body]);
  });

  it("should reach the server whole: an upload in chunks of one byte", async () => {
    response = answerBytes();
    const bytes = Array.from({ length: BODY_CHUNKS }, () => Buffer.from("u"));
    const res = await gateway.call("/stock/1", {
      body: Readable.from(bytes),
      waitMs: WAIT_MS,
    });
    assert.equal(res.status, 200);
    assert.ok(received.endsWith(`\r\n\r\n${"u".repeat(BODY_CHUNKS)}`));
  });
});
