/** What callers were promised holds for requests that another gateway sends to the servers. */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  ATTEMPT,
  chunkBytes,
  HOST,
  KEY,
  routeWire,
  STREAM_ROUTE,
  streamBytes,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const VMS = 3;
const CUT = "edge-2";
const DEADLINE_MS = 2_000;
const ROUTES = [
  routeWire({ Name: "r-once", RouteType: "non_idempotent" }),
  { ...STREAM_ROUTE, Name: "r-stream", PathPrefix: "/stream/" },
];

let fleet: GatewayFleet;
let requests: RawRequest[];
let answer: (req: RawRequest) => void;

beforeEach(async () => {
  requests = [];
  answer = ({ socket }) => socket.write(answerBytes());
  fleet = new GatewayFleet(ROUTES, {}, { cuttable: true });
  for (const name of ["i-1", "i-2"]) {
    await fleet.addServer(name, (req) => {
      requests.push(req);
      answer(req);
    });
  }
  await fleet.start(VMS);
  for (const vm of fleet.vms) {
    await until(async () => (await fleet.call(vm, "/stock/1")).status === 200);
    await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
  }
  await fleet.cutServers(CUT, "reset");
  await until(async () => (await fleet.call(CUT, "/stock/1")).status === 200);
  requests = [];
});

afterEach(() => fleet.stop());

/** Value of a header that a server received. */
function headerOf({ text }: RawRequest, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\\r$`, "im").exec(text)?.[1];
}

describe("a request that another gateway sends to a server", () => {
  it("should run once, with the caller's id and body, and no more time than the caller's", async () => {
    const res = await request(`http://${fleet.callersOf(CUT)}/stock/2?a=b`, {
      method: "POST",
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        "fieldrack-attempt-id": ATTEMPT,
        "fieldrack-deadline-ms": String(DEADLINE_MS),
        "x-own": "kept",
      },
      body: "photo",
    });
    assert.equal(await res.body.text(), "ok");
    assert.equal(res.headers["fieldrack-server-seal"], "s");
    const [received, ...others] = requests;
    assert.ok(received !== undefined && others.length === 0);
    assert.match(received.text, /^POST \/stock\/2\?a=b /);
    assert.match(received.text, /\r\n\r\nphoto$/);
    assert.equal(headerOf(received, "fieldrack-attempt-id"), ATTEMPT);
    assert.equal(headerOf(received, "fieldrack-tenant"), "garden");
    assert.equal(headerOf(received, "x-own"), "kept");
    assert.equal(headerOf(received, "authorization"), undefined);
    assert.equal(headerOf(received, "forward-origin"), undefined);
    const leftMs = Number(headerOf(received, "fieldrack-deadline-ms"));
    assert.ok(leftMs > 0 && leftMs <= DEADLINE_MS);
  });

  it("should not be repeated when the server breaks off without an answer", async () => {
    answer = ({ socket }) => socket.destroy();
    const { status } = await fleet.call(CUT, "/stock/3");
    assert.equal(status, 502);
    assert.equal(requests.length, 1);
  });

  // The header was taken for the word of a gateway that no server had received the request, which
  // was then sent to another server: it ran twice.
  it("should run once although its server sends the header by which gateways decline", async () => {
    answer = ({ socket }) =>
      socket.write(answerBytes({ headers: "Forward-Declined: full\r\n" }));
    const { status, body } = await fleet.call(CUT, "/stock/5");
    assert.deepEqual([status, body, requests.length], [200, "ok", 1]);
  });

  it("should pass on the refusal of servers that did not run it", async () => {
    answer = ({ socket }) =>
      socket.write(answerBytes({
        status: "503 Service Unavailable",
        headers: "Fieldrack-Not-Processed: 1\r\nRetry-After: 2\r\n",
      }));
    const { status, headers } = await fleet.call(CUT, "/stock/4");
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
  });

  // Guards against REFUSED: a promise that it has not run, while a server may be running it.
  it("should be told that it may have run when its time is up", async () => {
    answer = () => {};
    const { status } = await fleet.call(CUT, "/stock/7", {
      "fieldrack-deadline-ms": "400",
    });
    assert.equal(status, 504);
    assert.equal(requests.length, 1);
  });

  it("should end at the server when its caller disconnects", async () => {
    let closed = 0;
    answer = ({ socket }) => socket.on("close", () => closed += 1);
    const abort = new AbortController();
    const call = request(`http://${fleet.callersOf(CUT)}/stream/1`, {
      headers: { host: HOST, authorization: `Bearer ${KEY}` },
      signal: abort.signal,
    }).catch(() => "aborted");
    await until(() => Promise.resolve(requests.length === 1));
    abort.abort();
    assert.equal(await call, "aborted");
    await until(() => Promise.resolve(closed === 1));
  });

  it("should stream events as they come, and continue at another server", async () => {
    answer = (req) => {
      const isResumed = headerOf(req, "last-event-id") === "1";
      if (!isResumed) {
        req.socket.write(streamBytes("id: 1\ndata: a\n\n"));
        setTimeout(() => req.socket.destroy(), 50);
        return;
      }
      req.socket.write(streamBytes("id: 2\ndata: b\n\n") + chunkBytes(""));
    };
    const { status, body } = await fleet.call(CUT, "/stream/2");
    assert.equal(status, 200);
    assert.equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  });

  it("should be cut for the caller when the other gateway ends in the middle of a stream", async () => {
    answer = ({ socket }) => socket.write(streamBytes("id: 1\ndata: a\n\n"));
    const call = fleet.call(CUT, "/stream/3");
    await until(() => Promise.resolve(requests.length === 1));
    await Promise.all(
      fleet.vms.filter((vm) => vm !== CUT).map((vm) => fleet.kill(vm)),
    );
    assert.equal((await call).status, 0);
    assert.equal(requests.length, 1);
  });

  it("should not be taken for forwarded when a caller sends the header of gateways", async () => {
    const origin = { vm: "edge-9", configurationVersion: 9e9, isCounted: true };
    const headers = { "forward-origin": JSON.stringify(origin) };
    for (const vm of fleet.vms) {
      assert.equal((await fleet.call(vm, "/stock/5", headers)).status, 200);
    }
    for (const req of requests) {
      assert.equal(headerOf(req, "forward-origin"), undefined);
    }
  });

  it("should be refused at once, with a time to come back, when no gateway reaches a server", async () => {
    for (const vm of fleet.vms) await fleet.cutServers(vm, "reset");
    const { status, headers } = await fleet.call(CUT, "/stock/6");
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.deepEqual(requests, []);
  });
});
