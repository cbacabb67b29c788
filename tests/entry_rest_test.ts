/**
 * A model server that is full turns a request away and says for how long it wants nothing. Read in
 * the code, then seen here: an entry did not hear that, and sent it the next request at once, until
 * three had failed in a row. Cause: of an answer that is an error, only its status and text were read.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { Agent } from "undici";
import { HttpModelServers } from "../src/backends/http_model_servers.ts";
import { HttpPlainServices } from "../src/backends/http_plain_services.ts";
import type { BackendError } from "../src/backends/backend_error.ts";
import type { BackendServer } from "../src/core/config/configuration.ts";
import type { BackendId, RequestId } from "../src/core/ids.ts";
import { ServerPool } from "../src/core/routing/server_pool.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { TestChat, token } from "./fixtures/test_chat.ts";

const REST_MS = 3_000;
const FULL: BackendError = {
  tag: "rejected",
  status: 503,
  reason: "full",
  restMs: REST_MS,
};
const GOOD = () => [[token("ok", "good")]];
const ID = "small-1" as BackendId;

describe("a model server that asks an entry for rest", () => {
  it("should get no request meanwhile", async () => {
    const chat = new TestChat({ "small-1": () => FULL, "small-2": GOOD });
    assert.equal(await chat.answer("small"), undefined);
    assert.equal(await chat.answer("small"), undefined);
    assert.deepEqual(chat.attemptedServers, ["small-1", "small-2", "small-2"]);
  });

  it("should get none where no other is left, and callers be told when", async () => {
    const chat = new TestChat({ "small-1": () => FULL });
    await chat.answer("small");
    const err = await chat.answer("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.equal(err?.tag === "no_server" && err.retryAfterMs, REST_MS);
  });

  it("should be available again after its rest, whatever shorter one it asks for", () => {
    const pool = new ServerPool();
    pool.backOff(ID, { restMs: REST_MS, nowMs: 0 });
    pool.backOff(ID, { restMs: 10, nowMs: 0 });
    assert.equal(pool.isAvailable(ID, REST_MS - 1), false);
    assert.equal(pool.availableInMs(ID, REST_MS - 1), 1);
    assert.equal(pool.isAvailable(ID, REST_MS), true);
  });

  it("should be heard by its answers", async () => {
    const http = createServer((_req, res) => {
      res.writeHead(503, { "retry-after": String(REST_MS / 1_000) }).end(
        "full",
      );
    });
    http.listen(0, "127.0.0.1");
    await once(http, "listening");
    const url = `http://127.0.0.1:${(http.address() as AddressInfo).port}`;
    const dispatcher = new Agent();
    const deadline = new Deadline(REST_MS);
    const server = { url } as BackendServer;
    const call = { server, requestId: "r" as RequestId, deadline };
    const model = { ...call, body: "{}", priority: "standard" };
    const models = new HttpModelServers(dispatcher);
    const plain = new HttpPlainServices(dispatcher);
    const heard = [
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
    assert.deepEqual(heard, [REST_MS, REST_MS, REST_MS]);
  });
});
