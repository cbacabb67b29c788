import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import type { BackendServer } from "../core/config/configuration.ts";
import type { RequestId } from "../core/ids.ts";
import type { Result } from "../core/result.ts";
import { Deadline } from "../runtime/deadline.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import type { BackendError } from "./backend_error.ts";
import { HttpPlainServices } from "./http_plain_services.ts";
import type { ServiceResponse } from "./plain_services.ts";
import { ResponseMemory } from "./response_limits.ts";

const MIB = 1_024 * 1_024;
const BODY = randomBytes(6 * MIB);
const DEADLINE_MS = 60_000;

describe("HttpPlainServices", () => {
  const dispatcher = new HttpAgent();
  let http: Server;

  async function callWith(
    memory: ResponseMemory,
    calls: number,
  ): Promise<Result<ServiceResponse, BackendError>[]> {
    // All responses are in flight concurrently: none ends before each has begun.
    const begun: ServerResponse[] = [];
    http = createServer((_req, res) => {
      res.write(BODY.subarray(0, BODY.length / 2));
      if (begun.push(res) < calls) return;
      for (const each of begun) each.end(BODY.subarray(BODY.length / 2));
    });
    http.listen(0, "127.0.0.1");
    await once(http, "listening");
    const { port } = http.address() as AddressInfo;
    const services = new HttpPlainServices(dispatcher, memory);
    const call = {
      server: { url: `http://127.0.0.1:${port}` } as BackendServer,
      requestId: "r" as RequestId,
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
    };
    return await Promise.all(
      Array.from({ length: calls }, async () => {
        const deadline = new Deadline(DEADLINE_MS);
        try {
          return await services.call({ ...call, deadline });
        } finally {
          deadline.close();
        }
      }),
    );
  }

  afterEach(async () => {
    await dispatcher.close();
    http.closeAllConnections();
    http.close();
  });

  // Guards against responses that together take all memory: each was collected whole, whatever others took.
  it("should return whole responses or none, and free the memory of both", async () => {
    const memory = new ResponseMemory(24 * MIB);
    const results = await callWith(memory, 20);
    const failures = results.filter((res) => !res.ok).map(({ error }) => error);
    assert.ok(failures.length > 0 && failures.length < results.length);
    for (const { tag } of failures) assert.equal(tag, "no_memory");
    for (const res of results) {
      if (res.ok) assert.equal(hash(res.value.body.bytes()), hash(BODY));
    }
    assert.equal(memory.used, 0);
  });
});

function hash(bytes: Buffer): string {
  return createHash("sha256").update(bytes).digest("hex");
}
