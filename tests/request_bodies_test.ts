/**
 * Guards against request bodies that take a VM over its memory. While servers read slowly, bodies
 * pile up; each was kept as long as its request ran, and nothing limited their sum, until the
 * platform ended the process with all requests that it had.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { request } from "undici";
import { parseAddress } from "../src/runtime/address.ts";
import {
  answerBytes,
  ATTEMPT,
  HOST,
  KEY,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const BODY_BYTES = 2_000_000;
const REQUESTS = 60;
/** Bodies of this size that a fifth of 350 MB holds. */
const KEPT = 35;
const WAIT_MS = 60_000;
const HEADERS = {
  host: HOST,
  authorization: `Bearer ${KEY}`,
  "fieldrack-attempt-id": ATTEMPT,
  "fieldrack-deadline-ms": String(WAIT_MS),
};

/** Opens a connection and sends the head of a request whose body is still to come. */
function sendHead(address: string, onResponse: (text: string) => void): Socket {
  const socket = connect(parseAddress(address));
  const lines = Object.entries({
    ...HEADERS,
    "content-length": String(BODY_BYTES),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`POST /stock/long HTTP/1.1\r\n${lines.join("")}\r\n`);
  socket.setEncoding("latin1").on("data", onResponse);
  socket.on("error", () => {});
  return socket;
}

describe("request bodies beyond a share of the memory", () => {
  // Guards against LOST: requests of a process that went over its memory.
  it("should be refused before they are read, small ones excepted", async () => {
    const gateway = new TestGateway();
    const sockets: Socket[] = [];
    try {
      await gateway.start([routeWire({ RouteType: "non_idempotent" })]);
      await gateway.addServer(
        "i-1",
        ({ socket }) => socket.write(answerBytes()),
      );
      const isServed = async () =>
        (await gateway.call("/stock/first")).status === 200;
      await until(isServed);
      const refusals: string[] = [];
      for (let n = 0; n < REQUESTS; n++) {
        sockets.push(
          sendHead(gateway.address, (text) => refusals.push(text)),
        );
      }
      await until(() => Promise.resolve(refusals.length >= REQUESTS - KEPT));
      assert.equal(refusals.length, REQUESTS - KEPT);
      for (const text of refusals) {
        assert.match(text, /^HTTP\/1.1 503 /);
        assert.match(text, /bodies_full/);
      }
      assert.ok(await isServed());
      for (const socket of sockets) socket.destroy();
      await until(async () => {
        const res = await request(`http://${gateway.address}/stock/1`, {
          method: "POST",
          body: Buffer.alloc(BODY_BYTES, "x"),
          headers: HEADERS,
        });
        await res.body.dump();
        return res.statusCode === 200;
      });
    } finally {
      for (const socket of sockets) socket.destroy();
      await gateway.stop();
    }
  });
});
