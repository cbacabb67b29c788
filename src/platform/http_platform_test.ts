import assert from "node:assert/strict";
import { createServer, type OutgoingHttpHeaders, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HttpPlatform } from "./http_platform.ts";
import type { PlatformError } from "./platform.ts";

let server: Server;
let platform: HttpPlatform;

afterEach(async () => {
  await platform.close();
  await new Promise((resolve) => server.close(resolve));
});

/** The error of a read that is answered like this. */
async function errorOf(
  status: number,
  { body, headers = {} }: { body: string; headers?: OutgoingHttpHeaders },
): Promise<PlatformError | undefined> {
  server = createServer((_req, res) =>
    res.writeHead(status, headers).end(body)
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  platform = new HttpPlatform({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: 2_000,
  });
  const result = await platform.get("key");
  return result.ok ? undefined : result.error;
}

// The body was parsed before the status was looked at: a load balancer's page beside a status 503
// left it open whether an object had been written.
describe("answer of the platform without JSON", () => {
  it("should be unavailable with status 503", async () => {
    const err = await errorOf(503, { body: "<html>busy</html>" });
    assert.equal(err?.tag, "unavailable");
  });

  it("should be rate limited with status 429", async () => {
    const err = await errorOf(429, {
      body: "slow down",
      headers: { "retry-after-ms": "250" },
    });
    assert.deepEqual(err, { tag: "rate_limited", retryAfterMs: 250 });
  });

  it("should be uncertain with any other status", async () => {
    assert.equal((await errorOf(200, { body: "{" }))?.tag, "uncertain");
  });
});

describe("retry delay that the platform requests", () => {
  for (const value of ["soon", "-1", "Infinity"]) {
    it(`should be the default if it is ${value}`, async () => {
      const err = await errorOf(429, {
        body: "",
        headers: { "retry-after-ms": value },
      });
      assert.deepEqual(err, { tag: "rate_limited", retryAfterMs: 1_000 });
    });
  }
});
