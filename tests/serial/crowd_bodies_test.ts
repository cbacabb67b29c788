/**
 * Guards against bodies that never end. Each chunk of one byte took a hundred times its size, and
 * nothing limited their sum, so that the process ran out of memory with all requests that it had.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Crowd } from "../fixtures/crowd.ts";
import {
  chunkedHead,
  head,
  HOST_ONLY,
  itShouldServeBeside,
  LARGE_CHUNK,
  LARGE_CHUNK_BYTES,
  MAX_BODY_BYTES,
  ORDINARY,
  SMALLEST_CHUNK,
} from "../fixtures/crowd_case.ts";
import {
  LimitedGateway,
  type Listener,
  READY_PATH,
  SERVED_PATH,
} from "../fixtures/limited_gateway.ts";
import { until } from "../fixtures/test_fleet.ts";

const KIB = 1_024;
/** Path of requests whose bodies are never complete. */
const UNFINISHED_PATH = "/stock/unfinished";
const SMALL_BODY_BYTES = 16 * KIB;
/** Enough for the young generation of the heap to grow to its full size. */
const ORDINARY_REQUESTS = 1_000;
const CHUNKED = `${HOST_ONLY}transfer-encoding: chunked\r\n`;
/** Head of a request with a chunked body, for each kind of listener. */
const CHUNKED_HEADS: readonly (readonly [Listener, string])[] = [
  ["callers", chunkedHead()],
  ["readiness", head("POST", READY_PATH, CHUNKED)],
  ["peers", head("POST", "/exchange", CHUNKED)],
];

describe("a gateway beside bodies without an end", () => {
  itShouldServeBeside({
    name: "small bodies in chunks of 1 byte",
    at: "callers",
    connections: 100,
    prefix: chunkedHead(),
    unit: SMALLEST_CHUNK,
    repeat: SMALL_BODY_BYTES - 1,
  });
  itShouldServeBeside({
    name: "large bodies in chunks of 1 byte",
    at: "callers",
    connections: 20,
    prefix: chunkedHead(),
    unit: SMALLEST_CHUNK,
    repeat: MAX_BODY_BYTES / 4,
  });
  itShouldServeBeside({
    name: "large bodies in large chunks",
    at: "callers",
    connections: 100,
    prefix: chunkedHead(),
    unit: LARGE_CHUNK,
    repeat: MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
  });
  itShouldServeBeside({
    name: "large bodies with a length, one byte short",
    at: "callers",
    connections: 100,
    prefix: head(
      "POST",
      SERVED_PATH,
      `${ORDINARY}content-length: ${MAX_BODY_BYTES}\r\n`,
    ),
    unit: "x",
    repeat: MAX_BODY_BYTES - 1,
  });
  for (const [at, prefix] of CHUNKED_HEADS) {
    itShouldServeBeside({
      name: "chunk extensions",
      at,
      connections: 20,
      prefix,
      unit: `1;${"e".repeat(KIB)}\r\nx\r\n`,
      repeat: 4 * KIB,
    });
    itShouldServeBeside({
      name: "trailers",
      at,
      connections: 100,
      prefix: `${prefix}0\r\n`,
      unit: `t: ${"v".repeat(KIB)}\r\n`,
      repeat: KIB,
    });
  }
  itShouldServeBeside({
    name: "bodies in chunks of 1 byte",
    at: "readiness",
    connections: 20,
    prefix: head("POST", READY_PATH, CHUNKED),
    unit: SMALLEST_CHUNK,
    repeat: MAX_BODY_BYTES / 4,
  });
  itShouldServeBeside({
    name: "bodies of no peer in chunks of 1 byte",
    at: "peers",
    connections: 50,
    prefix: head("POST", "/exchange", CHUNKED),
    unit: SMALLEST_CHUNK,
    repeat: 512 * KIB,
  });

  // Guards against a refusal whose request runs all the same.
  it("should not send a request to a server whose body it has refused", async () => {
    const gateway = new LimitedGateway();
    let crowd: Crowd | undefined;
    try {
      await gateway.start();
      crowd = new Crowd({
        address: gateway.address("callers"),
        connections: 100,
        prefix: chunkedHead(UNFINISHED_PATH),
        unit: LARGE_CHUNK,
        repeat: MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
        reads: true,
      });
      await crowd.settled();
      await crowd.disperse();
      await until(async () => await gateway.call() === 200);
      assert.equal(gateway.requestsFor(UNFINISHED_PATH), 0);
      assert.ok(gateway.requestsFor(SERVED_PATH) > 0);
    } finally {
      await crowd?.disperse();
      await gateway.stop();
    }
  });

  // Guards against bodies that stop short of their end and keep out all others for as long as they like.
  it("should serve a large body beside large ones that have stalled", async () => {
    const gateway = new LimitedGateway();
    let crowd: Crowd | undefined;
    try {
      await gateway.start();
      crowd = new Crowd({
        address: gateway.address("callers"),
        connections: 100,
        prefix: chunkedHead(),
        unit: LARGE_CHUNK,
        repeat: MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
      });
      await crowd.settled();
      const body = "x".repeat(MAX_BODY_BYTES);
      await until(async () => await gateway.call({ body }) === 200);
      gateway.assertWithinLimits();
    } finally {
      await crowd?.disperse();
      await gateway.stop();
    }
  });

  // Guards against shares that leave too little memory for the program once its heap has grown.
  it("should serve many requests beside large bodies that have stalled", async (t) => {
    const gateway = new LimitedGateway();
    let crowd: Crowd | undefined;
    try {
      await gateway.start();
      crowd = new Crowd({
        address: gateway.address("callers"),
        connections: 100,
        prefix: chunkedHead(),
        unit: LARGE_CHUNK,
        repeat: MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
      });
      await crowd.settled();
      for (let n = 0; n < ORDINARY_REQUESTS; n++) {
        assert.equal(await gateway.call(), 200);
      }
      t.diagnostic(gateway.describe());
      gateway.assertWithinLimits();
    } finally {
      await crowd?.disperse();
      await gateway.stop();
    }
  });
});
