/**
 * Guards against retries of requests whose responses have arrived at a gateway that had no processor
 * time to read them: after such a pause, timers run before the event loop polls the connections, so
 * that the server looked as if it had sent nothing. Seen on busy machines: idempotent requests were
 * read by two servers, and streams continued on a second one.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import { nextTurn } from "../src/runtime/next_turn.ts";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  ATTEMPT,
  chunkBytes,
  routeWire,
  STREAM_ROUTE,
  streamAnswerBytes,
  streamBytes,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const SERVERS = 2;
/** Requests after which the gateway knows the usual time to first byte. */
const WARM_UP_REQUESTS = 10;
/** Longer than any time after which a server that sends nothing counts as stalled. */
const STARVED_MS = 2_500;
const SERVER_DELAY_MS = 20;
const CALLER_TIMEOUT_MS = 20_000;

const ROUTES = [
  routeWire({ Name: "r-plain" }),
  { ...STREAM_ROUTE, Name: "r-stream", PathPrefix: "/report/" },
];

let gateway: TestGateway;
/** Requests that servers have read. */
let arrivals: string[];

/** Keeps this process, and with it the gateway, from running. */
function starve(): void {
  const endMs = performance.now() + STARVED_MS;
  while (performance.now() < endMs);
}

async function answer({ text, socket }: RawRequest): Promise<void> {
  const path = text.split(" ", 2)[1] ?? "";
  arrivals.push(path);
  const isStream = path.startsWith("/report/");
  const whole = isStream
    ? streamAnswerBytes({ attempt: ATTEMPT, confidence: 90 })
    : answerBytes();
  if (!path.endsWith("/starved")) {
    socket.write(whole);
    return;
  }
  await pause(SERVER_DELAY_MS);
  // Timers are next after this phase of the event loop, before it polls the connections.
  await nextTurn();
  if (path.endsWith("/begun/starved")) {
    socket.write(streamBytes("id: 1\ndata: a\n\n"));
    await pause(SERVER_DELAY_MS);
    await nextTurn();
    socket.write(chunkBytes("id: 2\ndata: b\n\n") + chunkBytes(""));
  } else {
    socket.write(whole);
  }
  starve();
}

beforeEach(async () => {
  arrivals = [];
  gateway = new TestGateway();
  for (let n = 0; n < SERVERS; n++) {
    await gateway.addServer(`i-${n}`, (req) => void answer(req));
  }
  await gateway.start(ROUTES);
  for (const path of ["/stock/1", "/report/1"]) {
    await until(async () => (await gateway.call(path)).status === 200);
    for (let n = 0; n < WARM_UP_REQUESTS; n++) await gateway.call(path);
  }
  arrivals = [];
});

afterEach(() => gateway.stop());

describe("a gateway that had no processor time while a response arrived", () => {
  const PATHS = ["/stock/starved", "/report/starved", "/report/begun/starved"];
  for (const path of PATHS) {
    it(`should deliver it without a retry (${path})`, async () => {
      const res = await gateway.call(path, { waitMs: CALLER_TIMEOUT_MS });
      assert.equal(res.status, 200);
      assert.deepEqual(arrivals, [path]);
    });
  }
});
