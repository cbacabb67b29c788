/**
 * Guards against a part of a response that reaches the caller as a complete one: a server responded
 * to a long upload early, without a length, and reset the connection while the upload was still
 * being written.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, describe, it } from "node:test";
import { EarlyServer } from "./fixtures/early_server.ts";
import {
  ATTEMPT,
  type CallOptions,
  chunkBytes,
  routeWire,
  serverWire,
  STREAM_ROUTE,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const UPLOAD = Buffer.alloc(4 * 1_024 * 1_024, "u");
const PART = "p".repeat(3 * 1_024);
const EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/** The outcome depends on the order in which the kernel reports the reset. */
const PLAYS = 8;
const RESET_DELAYS_MS = [0, 2, 50];
/** Time without data after which the server has read the whole upload. */
const READ_IDLE_MS = 100;

const ROUTES: Readonly<Record<string, object>> = {
  idempotent: routeWire(),
  non_idempotent: routeWire({ RouteType: "non_idempotent" }),
  streaming: STREAM_ROUTE,
};

const HEADS: Readonly<Record<string, string>> = {
  "no length": headBytes("HTTP/1.1 200 OK"),
  "no length and Connection: close": headBytes("HTTP/1.1 200 OK", "close"),
  "HTTP/1.0": headBytes("HTTP/1.0 200 OK"),
  "a status of 500": headBytes("HTTP/1.1 500 Internal Server Error"),
};

function headBytes(statusLine: string, connection?: string): string {
  const extra = connection === undefined ? "" : `Connection: ${connection}\r\n`;
  return `${statusLine}\r\nFieldrack-Attempt-Id: ${ATTEMPT}\r\n` +
    `Fieldrack-Server-Seal: s\r\n${extra}`;
}

/** Sends the part of a response, and resets the connection after a while. */
function respondAndReset(
  socket: Socket,
  { bytes, delayMs }: { bytes: string; delayMs: number },
): void {
  socket.write(bytes);
  if (delayMs === 0) socket.resetAndDestroy();
  else setTimeout(() => socket.resetAndDestroy(), delayMs);
}

describe("an early response", () => {
  let gateway: TestGateway;
  let server: EarlyServer;

  async function start(
    route: object,
    respond: (socket: Socket) => void,
  ): Promise<void> {
    gateway = new TestGateway();
    await gateway.start([route]);
    server = new EarlyServer(respond);
    gateway.store.objects.put("servers", {
      name: "early",
      spec: serverWire(await server.listen()),
    });
    await until(async () => {
      await outcomeOf({ body: Buffer.from("u") });
      return server.requests > 0;
    });
  }

  /** Returns what the caller got: a status if it took the response for complete. */
  async function outcomeOf(options: CallOptions): Promise<number | "cut"> {
    try {
      return (await gateway.call("/stock/1", options)).status;
    } catch {
      return "cut";
    }
  }

  afterEach(async () => {
    await gateway.stop();
    await server.close();
  });

  for (const [routeName, route] of Object.entries(ROUTES)) {
    for (const [headName, head] of Object.entries(HEADS)) {
      it(`should not be passed on as complete after a reset: ${routeName} route, ${headName}`, async () => {
        let delayMs = 0;
        const isStream = routeName === "streaming";
        const bytes = isStream
          ? `${head}Content-Type: text/event-stream\r\n\r\n${EVENTS}`
          : `${head}\r\n${PART}`;
        await start(
          route,
          (socket) => respondAndReset(socket, { bytes, delayMs }),
        );
        const requestsBefore = server.requests;
        const complete: string[] = [];
        for (delayMs of RESET_DELAYS_MS) {
          for (let play = 0; play < PLAYS; play++) {
            const isChunked = play % 2 === 1;
            const body = isChunked ? Readable.from([UPLOAD]) : UPLOAD;
            const outcome = await outcomeOf({ body });
            if (outcome !== 200 && outcome !== 500) continue;
            complete.push(`${outcome}, reset after ${delayMs} ms`);
          }
        }
        assert.deepEqual(complete, []);
        const plays = RESET_DELAYS_MS.length * PLAYS;
        assert.ok(server.requests - requestsBefore >= plays);
      });
    }
  }

  for (
    const [name, framed] of [
      ["a length", `Content-Length: ${PART.length}\r\n\r\n${PART}`],
      [
        "chunks",
        `Transfer-Encoding: chunked\r\n\r\n${chunkBytes(PART)}${
          chunkBytes("")
        }`,
      ],
    ] as const
  ) {
    it(`should be passed on if it is complete by ${name}`, async () => {
      const head = headBytes("HTTP/1.1 200 OK", "close");
      await start(routeWire(), (socket) => socket.write(`${head}${framed}`));
      const answer = await gateway.call("/stock/1", { body: UPLOAD });
      assert.equal(answer.status, 200);
      assert.equal(answer.body, PART);
    });
  }

  it("should be passed on if the server reads the whole upload before it ends the connection", async () => {
    const head = headBytes("HTTP/1.1 200 OK");
    await start(routeWire(), (socket) => {
      socket.write(`${head}\r\n${PART}`);
      let isIdle = true;
      socket.on("data", () => isIdle = false);
      socket.resume();
      const timer = setInterval(() => {
        if (isIdle) socket.end();
        isIdle = true;
      }, READ_IDLE_MS);
      socket.on("close", () => clearInterval(timer));
    });
    const answer = await gateway.call("/stock/1", { body: UPLOAD });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, PART);
  });
});
