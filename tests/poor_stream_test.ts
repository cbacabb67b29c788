/**
 * Guards against cancelling a stream with a poor beginning before the next step of the cascade has
 * a better response. Where the next step had no server, was refused or cut, or the key had been
 * withdrawn meanwhile, the caller got 503, 401 or 502, some of them with `ran: "no"`, although a
 * response was on its way. A complete response is passed on in that case.
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
const ABORTED: StreamEvent = {
  tag: "cut",
  error: { tag: "aborted", sent: true },
};
const POOR_BEGINNING = [token("a ", "poor"), token("b ", "poor")];
const POOR: ServerScript = () => [POOR_BEGINNING, [token("c", "poor")], [END]];
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
  for (const [failure, plays] of NEXT_STEPS) {
    test(`should be passed on if the next step ${failure}`, async () => {
      const chat = new TestChat({ "small-1": POOR, ...plays });
      assert.equal(await chat.stream(CASCADE), undefined);
      const seen = { server: "small-1", text: "a b c", end: "proper" };
      assert.deepEqual(chat.received, seen);
      assert.ok(!chat.cancelled.includes("small-1"));
      assert.equal(chat.open.size, 0);
    });
  }

  test("should be passed on if its key was withdrawn meanwhile", async () => {
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

  test("should be passed on if it completes before its quality is judged", async () => {
    const chat = new TestChat({
      "small-1": () => [[token("a", "poor")], [END]],
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    assert.equal(chat.received.text, "a");
    assert.equal(chat.received.end, "proper");
  });

  test("should be cancelled once the next step's response begins", async () => {
    let openAtNextStep: string[] = [];
    const chat: TestChat = new TestChat({
      "small-1": POOR,
      "large-1": (call) => {
        openAtNextStep = [...chat.open];
        return GOOD(call);
      },
    });
    assert.equal(await chat.stream(CASCADE), undefined);
    const seen = { server: "large-1", text: "d e", end: "proper" };
    assert.deepEqual(chat.received, seen);
    assert.deepEqual(openAtNextStep, ["small-1"]);
    assert.deepEqual(chat.cancelled, ["small-1"]);
    assert.equal(chat.open.size, 0);
  });

  test("should be cancelled before its own server is called for the next step", async () => {
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

  test("should be reported as possibly executed if its own server refuses the next step", async () => {
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

  test("should be reported as possibly executed if it is cut as well", async () => {
    const chat = new TestChat({ "small-1": () => [POOR_BEGINNING, [CUT]] });
    const err = await chat.stream(CASCADE);
    assert.ok(err);
    assert.equal(err.tag, "stream_cut");
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(chat.received.server, undefined);
    assert.equal(chat.open.size, 0);
  });

  test("should end with the request when its caller disconnects", async () => {
    const chat: TestChat = new TestChat({
      "small-1": () => [POOR_BEGINNING, [ABORTED]],
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
