/**
 * Read in the code, then seen in these tests: a stream whose beginning was poor was cancelled
 * at its server, and only then was the next step of the cascade looked for. Where that had no
 * server, was refused or cut, or the key had been withdrawn meanwhile, the caller was told 503,
 * 401 or 502, some of it with `ran: "no"`, though an answer was on its way; a whole answer is
 * passed on in that case. Cause: what was at hand was given up before there was anything better.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { StreamEvent } from "../src/backends/model_servers.ts";
import { executionStatusOf, httpStatusOf } from "../src/core/request_error.ts";
import {
  CASCADE,
  type ServerScript,
  TestChat,
  token,
} from "./fixtures/test_chat.ts";

const END: StreamEvent = { tag: "end" };
const CUT: StreamEvent = {
  tag: "cut",
  error: { tag: "failed", reason: "ECONNRESET" },
};
const GIVEN_UP: StreamEvent = {
  tag: "cut",
  error: { tag: "aborted", sent: true },
};
const BEGINNING = [token("a ", "poor"), token("b ", "poor")];
const POOR: ServerScript = () => [BEGINNING, [token("c", "poor")], [END]];
const GOOD: ServerScript =
  () => [[token("d ", "good")], [token("e", "good")], [END]];
const NEXT_STEPS: [string, Record<string, ServerScript>][] = [
  ["has no server", {}],
  ["is refused", {
    "large-1": () => ({ tag: "refused", reason: "ECONNREFUSED" }),
  }],
  ["is cut before its first event", { "large-1": () => [[CUT]] }],
];

describe("a stream with a poor beginning", () => {
  for (const [what, next] of NEXT_STEPS) {
    test(`should be passed on where the next step ${what}`, async () => {
      const chat = new TestChat({ "small-1": POOR, ...next });
      assert.equal(await chat.stream(CASCADE), undefined);
      const seen = { server: "small-1", text: "a b c", end: "proper" };
      assert.deepEqual(chat.received, seen);
      assert.ok(!chat.cancelled.includes("small-1"));
      assert.equal(chat.open.size, 0);
    });
  }

  test("should be passed on where its key was withdrawn meanwhile", async () => {
    const chat: TestChat = new TestChat({
      "small-1": (call) => {
        chat.withdrawKey();
        return POOR(call);
      },
      "large-1": GOOD,
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.equal(chat.received.text, "a b c");
    assert.equal(chat.received.end, "proper");
  });

  test("should be passed on if it is whole before it is judged", async () => {
    const chat = new TestChat({
      "small-1": () => [[token("a", "poor")], [END]],
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    assert.equal(chat.received.text, "a");
    assert.equal(chat.received.end, "proper");
  });

  test("should be given up once the next step's answer begins", async () => {
    let heldBy: string[] = [];
    const chat: TestChat = new TestChat({
      "small-1": POOR,
      "large-1": (call) => {
        heldBy = [...chat.open];
        return GOOD(call);
      },
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    const seen = { server: "large-1", text: "d e", end: "proper" };
    assert.deepEqual(chat.received, seen);
    assert.deepEqual(heldBy, ["small-1"]);
    assert.deepEqual(chat.cancelled, ["small-1"]);
    assert.equal(chat.open.size, 0);
  });

  test("should be given up before its own server is asked for the next step", async () => {
    let cancelled = 0;
    const chat: TestChat = new TestChat({
      "small+large-1": (call) => {
        if (!call.body.includes("large@")) return POOR(call);
        cancelled = chat.cancelled.length;
        return GOOD(call);
      },
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    assert.equal(chat.received.text, "d e");
    assert.equal(cancelled, 1);
    assert.equal(chat.cancelled.length, 1);
    assert.equal(chat.open.size, 0);
  });

  test("should be told as one that may have run if its own server refuses the next step", async () => {
    const chat = new TestChat({
      "small+large-1": (call) =>
        call.body.includes("large@")
          ? { tag: "refused", reason: "ECONNREFUSED" }
          : POOR(call),
    });
    const err = await chat.stream(CASCADE);
    assert.ok(err);
    assert.equal(httpStatusOf(err), 502);
    assert.equal(executionStatusOf(err), "maybe");
  });

  test("should be told as one that may have run if it is cut as well", async () => {
    const chat = new TestChat({ "small-1": () => [BEGINNING, [CUT]] });
    const err = await chat.stream(CASCADE);
    assert.ok(err);
    assert.equal(err.tag, "stream_cut");
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(chat.received.server, undefined);
    assert.equal(chat.open.size, 0);
  });

  test("should end with the request when its caller goes", async () => {
    const chat: TestChat = new TestChat({
      "small-1": () => [BEGINNING, [GIVEN_UP]],
      "large-1": () => {
        chat.deadline.cancel();
        return { tag: "aborted", sent: true };
      },
    });
    const err = await chat.stream(CASCADE);
    assert.ok(err);
    assert.equal(err.tag, "cancelled");
    assert.equal(executionStatusOf(err), "maybe");
    assert.ok(chat.cancelled.includes("small-1"));
    assert.equal(chat.open.size, 0);
  });
});
