import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AccountId, InstanceId, ModelId } from "../core/ids.ts";
import {
  decodeBackendHead,
  decodeCallerHead,
  encodeBackendRequestHeaders,
  forwardedResponseHeaders,
} from "./header_wire.ts";

const HEAD = {
  host: "shop.example",
  instance: "i-1" as InstanceId,
  remainingMs: 750.9,
  account: "garden" as AccountId,
  urgency: undefined,
  model: undefined,
  lastEventId: undefined,
};

function encodedHeaders(raw: string[], head = HEAD): Map<string, string> {
  const lines = encodeBackendRequestHeaders(raw, head);
  const headers = new Map<string, string>();
  for (let at = 0; at < lines.length; at += 2) {
    headers.set(String(lines[at]).toLowerCase(), String(lines[at + 1]));
  }
  return headers;
}

describe("headers", () => {
  it("should not forward reserved headers or the API key", () => {
    const headers = encodedHeaders([
      "Authorization",
      "Bearer secret",
      "Fieldrack-Hold",
      "h",
      "Fieldrack-Pin-Ms",
      "5",
      "Fieldrack-Kv-Backup",
      "x",
      "Kv-From",
      "x",
      "Kv-Fetch",
      "x",
      "Fieldrack-Urgency-Class",
      "0",
      "Fieldrack-Tenant",
      "forged",
      "Fieldrack-Expect-Version",
      "9",
      "X-Own",
      "kept",
    ]);
    assert.deepEqual([...headers.keys()].sort(), [
      "fieldrack-deadline-ms",
      "fieldrack-expect-instance",
      "fieldrack-tenant",
      "host",
      "x-own",
    ]);
    assert.equal(headers.get("fieldrack-tenant"), "garden");
    assert.equal(headers.get("fieldrack-deadline-ms"), "750");
  });

  it("should drop hop-by-hop headers and those listed in `Connection`", () => {
    const headers = encodedHeaders([
      "Connection",
      "keep-alive, X-Hop",
      "X-Hop",
      "1",
      "Transfer-Encoding",
      "chunked",
      "X-Kept",
      "1",
    ]);
    assert.equal(headers.has("x-hop"), false);
    assert.equal(headers.has("transfer-encoding"), false);
    assert.equal(headers.get("x-kept"), "1");
  });

  it("should replace the model and the last event id only if the router sets them", () => {
    const raw = ["Fieldrack-Model", "*", "Last-Event-Id", "3"];
    assert.equal(encodedHeaders(raw).get("fieldrack-model"), "*");
    const head = { ...HEAD, model: "m2" as ModelId, lastEventId: "5" };
    const headers = encodedHeaders(raw, head as unknown as typeof HEAD);
    assert.equal(headers.get("fieldrack-model"), "m2");
    assert.equal(headers.get("last-event-id"), "5");
  });

  it("should decode the headers of a caller's request", () => {
    const head = decodeCallerHead({
      authorization: "Bearer key",
      "fieldrack-attempt-id": "9c41",
      "fieldrack-model": "*",
      "fieldrack-token-usage": "1460,80",
      "fieldrack-prefix-hash": "5c:800,91:410",
      "fieldrack-deadline-ms": "8000",
    });
    assert.equal(head.key, "key");
    assert.equal(head.anyModel, true);
    assert.equal(head.promptTokens, 1_460);
    assert.equal(head.maxOutputTokens, 80);
    assert.deepEqual(head.promptParts.map(({ tokens }) => tokens), [800, 410]);
    assert.equal(head.timeoutMs, 8_000);
  });

  it("should decode the headers of a backend server's response", () => {
    const head = decodeBackendHead({
      "keep-alive": "timeout=5",
      connection: "close",
      "transfer-encoding": "chunked",
      "fieldrack-not-processed": "1",
      "fieldrack-confidence": "42",
    });
    assert.equal(head.keepAliveMs, 5_000);
    assert.equal(head.closesConnection, true);
    assert.equal(head.framed, true);
    assert.equal(head.notProcessed, true);
    assert.equal(head.confidence, 42);
  });

  it("should forward end-to-end response headers but not hop-by-hop ones", () => {
    const kept = forwardedResponseHeaders({
      connection: "close, x-hop",
      "x-hop": "1",
      "fieldrack-server-seal": "s",
      "content-length": "3",
    });
    assert.deepEqual(kept, { "fieldrack-server-seal": "s" });
  });
});
