import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AccountId, InstanceId, ModelId } from "../core/ids.ts";
import {
  answerHeadersFor,
  decodeBackendHead,
  decodeCallerHead,
  encodeBackendRequest,
} from "./header_wire.ts";

const HEAD = {
  host: "shop.example",
  instance: "i-1" as InstanceId,
  waitMs: 750.9,
  account: "garden" as AccountId,
  urgency: undefined,
  model: undefined,
  lastEvent: undefined,
};

function sent(raw: string[], head = HEAD): Map<string, string> {
  const lines = encodeBackendRequest(raw, head);
  const headers = new Map<string, string>();
  for (let at = 0; at < lines.length; at += 2) {
    headers.set(String(lines[at]).toLowerCase(), String(lines[at + 1]));
  }
  return headers;
}

describe("headers", () => {
  it("should not pass on what is the system's to set, nor the key", () => {
    const headers = sent([
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

  it("should drop what concerns one connection, also what it names", () => {
    const headers = sent([
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

  it("should replace model and event only where the system chooses them", () => {
    const raw = ["Fieldrack-Model", "*", "Last-Event-Id", "3"];
    assert.equal(sent(raw).get("fieldrack-model"), "*");
    const head = { ...HEAD, model: "m2" as ModelId, lastEvent: "5" };
    const headers = sent(raw, head as unknown as typeof HEAD);
    assert.equal(headers.get("fieldrack-model"), "m2");
    assert.equal(headers.get("last-event-id"), "5");
  });

  it("should decode a caller's request", () => {
    const head = decodeCallerHead({
      authorization: "Bearer key",
      "fieldrack-attempt-id": "9c41",
      "fieldrack-model": "*",
      "fieldrack-token-usage": "1460,80",
      "fieldrack-prefix-hash": "5c:800,91:410",
      "fieldrack-deadline-ms": "8000",
    });
    assert.equal(head.key, "key");
    assert.equal(head.choosesModel, true);
    assert.equal(head.promptTokens, 1_460);
    assert.equal(head.outputTokens, 80);
    assert.deepEqual(head.promptParts.map(({ tokens }) => tokens), [800, 410]);
    assert.equal(head.waitMs, 8_000);
  });

  it("should decode a server's answer", () => {
    const head = decodeBackendHead({
      "keep-alive": "timeout=5",
      connection: "close",
      "transfer-encoding": "chunked",
      "fieldrack-not-processed": "1",
      "fieldrack-confidence": "42",
    });
    assert.equal(head.keepAliveMs, 5_000);
    assert.equal(head.closes, true);
    assert.equal(head.framed, true);
    assert.equal(head.notRun, true);
    assert.equal(head.confidence, 42);
  });

  it("should keep an answer's own headers but not those of its connection", () => {
    const kept = answerHeadersFor({
      connection: "close, x-hop",
      "x-hop": "1",
      "fieldrack-server-seal": "s",
      "content-length": "3",
    });
    assert.deepEqual(kept, { "fieldrack-server-seal": "s" });
  });
});
