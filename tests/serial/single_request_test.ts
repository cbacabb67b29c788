/** Guards against limits that take answers from clients that stay within those of the configuration. */

import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { parseAddress } from "../../src/runtime/address.ts";
import {
  chunkedHead,
  head,
  LARGE_CHUNK,
  LARGE_CHUNK_BYTES,
  MAX_BODY_BYTES,
  ORDINARY,
  SMALLEST_CHUNK,
} from "../fixtures/crowd_case.ts";
import { LimitedGateway, SERVED_PATH } from "../fixtures/limited_gateway.ts";

/** Long enough for a body in the smallest chunks on a slow machine. */
const DEADLINE = "fieldrack-deadline-ms: 90000";
const LONG_HEAD = chunkedHead().replace(
  /fieldrack-deadline-ms: \d+/,
  DEADLINE,
);

/** Near the limit of 16 KB for all headers. */
const LONG_HEADER_BYTES = 15_000;
const SLOW_PAUSE_MS = 20;

/** Sends pieces on one connection until `count` responses with status 200, or none, can follow. */
function countServed(
  address: string,
  { pieces, count, pauseMs }: {
    pieces: readonly string[];
    count: number;
    /** Delay between two pieces; 0 sends all of them together. */
    pauseMs: number;
  },
): Promise<number> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    let text = "";
    const served = () => text.match(/HTTP\/1.1 200 /g)?.length ?? 0;
    socket.on("error", () => {});
    socket.on("close", () => resolve(served()));
    socket.setEncoding("latin1").on("data", (more) => {
      text += String(more);
      if (served() >= count || /HTTP\/1.1 [345]/.test(text)) socket.destroy();
    });
    if (pauseMs > 0) socket.setNoDelay();
    for (const [at, piece] of pieces.entries()) {
      if (pauseMs === 0) socket.write(piece, "latin1");
      else setTimeout(() => socket.write(piece, "latin1"), at * pauseMs);
    }
  });
}

describe("a gateway without other load", () => {
  const cases = [
    {
      // A chunk cost a hundred times its bytes, and this one request ended the process.
      name: "a large body in chunks of 1 byte",
      pieces: [LONG_HEAD, SMALLEST_CHUNK.repeat(MAX_BODY_BYTES), "0\r\n\r\n"],
      count: 1,
    },
    {
      name: "a large body in large chunks",
      pieces: [
        LONG_HEAD,
        LARGE_CHUNK.repeat(MAX_BODY_BYTES / LARGE_CHUNK_BYTES),
        "0\r\n\r\n",
      ],
      count: 1,
    },
    {
      name: "a request with long headers",
      pieces: [
        head(
          "GET",
          SERVED_PATH,
          `${ORDINARY}x-long: ${"h".repeat(LONG_HEADER_BYTES)}\r\n`,
        ),
      ],
      count: 1,
    },
    {
      name: "a request that arrives slowly, in many small parts",
      pieces: `${chunkedHead()}${SMALLEST_CHUNK.repeat(20)}0\r\n\r\n`
        .match(/[^]{1,9}/g) ?? [],
      pauseMs: SLOW_PAUSE_MS,
      count: 1,
    },
    {
      name: "two requests that are sent ahead",
      pieces: [head("GET", SERVED_PATH, ORDINARY).repeat(2)],
      count: 2,
    },
    {
      name: "requests ahead with bodies, in one packet",
      pieces: [
        `${chunkedHead()}${SMALLEST_CHUNK.repeat(20)}0\r\n\r\n`.repeat(5),
      ],
      count: 5,
    },
  ];
  for (const { name, pieces, count, pauseMs = 0 } of cases) {
    it(`should serve ${name}`, async (t) => {
      const gateway = new LimitedGateway();
      try {
        await gateway.start();
        const served = await countServed(gateway.address("callers"), {
          pieces,
          count,
          pauseMs,
        });
        gateway.assertWithinLimits();
        assert.equal(served, count);
        t.diagnostic(gateway.describe());
      } finally {
        await gateway.stop();
      }
    });
  }
});
