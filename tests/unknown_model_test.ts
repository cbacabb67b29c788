/**
 * Guards against one request that takes a service from a VM. A model server answers 421 to a model
 * that it does not run, and any server does so to a request for another instance. Each server that
 * was asked for an unknown model was taken for another instance at its address, and got no more
 * requests until its entry changed.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  answerBytes,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const SERVERS = 4;
const BORN_MS = 1_700_000_000_000;
const MODEL = { "fieldrack-model": "model" };
const UNKNOWN_MODEL = { "fieldrack-model": "unknown" };
const ENGINE = {
  Slots: 64,
  KvCapacityTokens: 1_000_000,
  Models: [{ Name: "model", Cost: 1 }],
};

const NOT_SERVED = answerBytes({
  status: "421 Misdirected Request",
  body: "",
  headers: "Fieldrack-Not-Processed: 1\r\n",
});

function reportBytes(born: number): string {
  const body = JSON.stringify({ Phase: "both", born });
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe("a request for a model that no server runs", () => {
  let gateway: TestGateway;
  /** Start times that the servers report. */
  let reportedMs: number;
  let asked: number;

  beforeEach(async () => {
    gateway = new TestGateway();
    reportedMs = BORN_MS;
    asked = 0;
    await gateway.start([routeWire()], {}, { service: { Engine: ENGINE } });
    for (let n = 0; n < SERVERS; n++) {
      await gateway.addServer(`i-${n}`, ({ text, socket }) => {
        if (text.startsWith("GET /-/report")) {
          return socket.write(reportBytes(reportedMs));
        }
        const isUnknown = /fieldrack-model: unknown/i.test(text);
        if (isUnknown) asked += 1;
        socket.write(isUnknown ? NOT_SERVED : answerBytes());
      }, { born: BORN_MS });
    }
    await until(isServed);
  });

  afterEach(() => gateway.stop());

  async function isServed(): Promise<boolean> {
    const { status } = await gateway.call("/stock/1", { headers: MODEL });
    return status === 200;
  }

  // Guards against the loss of a service at a VM by one request.
  it("should be answered 421 and leave the service to other requests", async () => {
    for (let n = 0; n < 2 * SERVERS; n++) {
      const { status, body } = await gateway.call(`/stock/${n}`, {
        headers: UNKNOWN_MODEL,
      });
      assert.equal(status, 421);
      assert.match(body, /not_served/);
    }
    assert.equal(asked, 2 * SERVERS * 3);
    for (let n = 0; n < 2 * SERVERS; n++) assert.ok(await isServed());
  });

  it("should still show that another server listens at the address", async () => {
    reportedMs = BORN_MS + 5_000;
    await gateway.call("/stock/2", { headers: UNKNOWN_MODEL });
    assert.equal(
      (await gateway.call("/stock/3", { headers: MODEL })).status,
      503,
    );
  });
});
