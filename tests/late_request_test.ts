/**
 * Guards against forwarding requests whose callers have disconnected. A VM that is behind reads
 * the request and the end of its connection together. After a loss of all VMs, 30 such requests
 * were forwarded: one was sent to the VM at 38.9 s, cancelled by its caller at 39.9 s and forwarded
 * to a server at 41.8 s.
 */

import assert from "node:assert/strict";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  HOST,
  KEY,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const CALLERS = 20;
const PATH = "/stock/left";

let gateway: TestGateway;

beforeEach(() => {
  gateway = new TestGateway();
});

afterEach(() => gateway.stop());

/** Sends a request and closes the connection before the gateway can read it. */
function sendAndDisconnect(address: string): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => {
      socket.write(
        `GET ${PATH} HTTP/1.1\r\nHost: ${HOST}\r\n` +
          `Authorization: Bearer ${KEY}\r\nFieldrack-Deadline-Ms: 1000\r\n\r\n`,
      );
      // In the same turn of the event loop: the gateway runs in this process and cannot read yet.
      socket.destroy();
      resolve();
    });
  });
}

describe("a request whose caller has disconnected", () => {
  it("should not be forwarded, however late it is read", async () => {
    await gateway.start([routeWire()]);
    const server = await gateway.addServer(
      "i-1",
      ({ socket }: RawRequest) => socket.write(answerBytes()),
    );
    await until(async () => (await gateway.call("/stock/1")).status === 200);
    for (let n = 0; n < CALLERS; n++) await sendAndDisconnect(gateway.address);
    // A later request has been served, so the earlier ones have been processed.
    assert.equal((await gateway.call("/stock/2")).status, 200);
    const forwarded = server.requests.filter(({ text }) => text.includes(PATH));
    assert.equal(forwarded.length, 0);
  });
});
