/**
 * Guards against sending requests to a model server during the backoff that it requested. A full
 * server rejects a request and states how long to send it none. Of an error response only the
 * status and the text were read, so the entry sent the next request immediately, until three in a
 * row had failed.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { HttpModelServers } from "../src/backends/http_model_servers.ts";
import { HttpPlainServices } from "../src/backends/http_plain_services.ts";
import { HttpAgent } from "../src/runtime/http_agent.ts";
import { ResponseMemory } from "../src/backends/response_limits.ts";
import type { BackendError } from "../src/backends/backend_error.ts";
import type { BackendServer } from "../src/core/config/configuration.ts";
import type { BackendId, RequestId } from "../src/core/ids.ts";
import { ServerPool } from "../src/core/routing/server_pool.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { TestChat, token } from "./fixtures/test_chat.ts";

const BACKOFF_MS = 3_000;
const RESPONSE_BYTES = 1_024 * 1_024;
const SERVER_FULL: BackendError = {
  tag: "rejected",
  status: 503,
  reason: "full",
  restMs: BACKOFF_MS,
};
const GOOD_ANSWER = () => [[token("ok", "good")]];
const ID = "small-1" as BackendId;

describe("a model server that requests a backoff", () => {
  it("should get no requests during its backoff", async () => {
    const chat = new TestChat({
      "small-1": () => SERVER_FULL,
      "small-2": GOOD_ANSWER,
    });
    assert.equal(await chat.answer("small"), undefined);
    assert.equal(await chat.answer("small"), undefined);
    assert.deepEqual(chat.attemptedServers, ["small-1", "small-2", "small-2"]);
  });

  it("should get none where it is the only server, and clients should get the remaining time", async () => {
    const chat = new TestChat({ "small-1": () => SERVER_FULL });
    await chat.answer("small");
    const err = await chat.answer("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.equal(err?.tag === "no_server" && err.retryAfterMs, BACKOFF_MS);
  });

  it("should stay unavailable for its longest backoff when it requests a shorter one", () => {
    const pool = new ServerPool();
    pool.backOff(ID, { restMs: BACKOFF_MS, nowMs: 0 });
    pool.backOff(ID, { restMs: 10, nowMs: 0 });
    assert.equal(pool.isAvailable(ID, BACKOFF_MS - 1), false);
    assert.equal(pool.availableInMs(ID, BACKOFF_MS - 1), 1);
    assert.equal(pool.isAvailable(ID, BACKOFF_MS), true);
  });

  it("should have its backoff read from each kind of response", async () => {
    const http = createServer((_req, res) => {
      res.writeHead(503, { "retry-after": String(BACKOFF_MS / 1_000) }).end(
        "full",
      );
    });
    http.listen(0, "127.0.0.1");
    await once(http, "listening");
    const url = `http://127.0.0.1:${(http.address() as AddressInfo).port}`;
    const dispatcher = new HttpAgent();
    const deadline = new Deadline(BACKOFF_MS);
    const server = { url } as BackendServer;
    const call = { server, requestId: "r" as RequestId, deadline };
    const model = { ...call, body: "{}", priority: "standard" };
    const models = new HttpModelServers(dispatcher);
    const plain = new HttpPlainServices(
      dispatcher,
      new ResponseMemory(RESPONSE_BYTES),
    );
    const backoffs = [
      await models.chat(model),
      await models.stream(model),
      await plain.call({
        ...call,
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
      }),
    ].map((res) =>
      res.ok ? "restMs" in res.value && res.value.restMs : res.error.tag ===
          "rejected" && res.error.restMs
    );
    deadline.close();
    await dispatcher.close();
    http.close();
    assert.deepEqual(backoffs, [BACKOFF_MS, BACKOFF_MS, BACKOFF_MS]);
  });
});
