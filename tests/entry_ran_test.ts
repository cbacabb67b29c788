/**
 * Read in the code, then seen in these tests: a stream was cut at its server before its first
 * event had reached the caller, and the caller was told that no server had run it: 503, 401, or
 * 502 with `ran: "no"`. How: the second round of tries began as if nothing had been sent, so
 * whatever kept it from a server was all that the caller was told. Cause: what earlier tries
 * had shown was forgotten between two calls of the dispatcher.
 *
 * The same between two steps of a cascade, whole or streamed: the first step's server broke off
 * what it ran, the second step had no server or one that refused, and only the last error was
 * told. Cause: each step's error replaced that of the step before.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { BackendError } from "../src/backends/backend_error.ts";
import { executionStatusOf, httpStatusOf } from "../src/core/request_error.ts";
import { CASCADE, type ServerScript, TestChat } from "./fixtures/test_chat.ts";

const REFUSED: BackendError = { tag: "refused", reason: "ECONNREFUSED" };
const CUT: ServerScript = () => [[{
  tag: "cut",
  error: { tag: "failed", reason: "ECONNRESET" },
}]];

describe("a stream that was cut before its first event", () => {
  test("should be told as one that may have run where no other server is there", async () => {
    const chat = new TestChat({ "small-1": CUT });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be told as one that may have run where its key was withdrawn meanwhile", async () => {
    const chat: TestChat = new TestChat({
      "small-1": (call) => {
        chat.withdrawKey();
        return CUT(call);
      },
      "small-2": CUT,
    });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be told as one that may have run where the next server refuses it", async () => {
    const chat = new TestChat({ "small-1": CUT, "small-2": () => REFUSED });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1", "small-2"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be told as one that may have run where its time ends before the next byte", async () => {
    const chat: TestChat = new TestChat({
      "small-1": CUT,
      "small-2": () => {
        chat.deadline.cancel();
        return { tag: "aborted", sent: false };
      },
    });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1", "small-2"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(err.tag, "cancelled");
  });
});

describe("a stream that no server took", () => {
  test("should be told as one that has not run", async () => {
    const chat = new TestChat({ "small-1": () => REFUSED });
    const err = await chat.stream("small");
    assert.ok(err);
    assert.equal(executionStatusOf(err), "no");
  });
});

const FAILED: ServerScript = () => ({ tag: "failed", reason: "ECONNRESET" });
const SECOND_STEPS: [string, Record<string, ServerScript>, number][] = [
  ["has no server", {}, 502],
  ["is refused", { "large-1": () => REFUSED }, 502],
  ["is given up unsent", {
    "large-1": () => ({ tag: "aborted", sent: false }),
  }, 504],
];

for (const form of ["answer", "stream"] as const) {
  describe(`a cascade whose first step may have run (${form})`, () => {
    for (const [what, second, status] of SECOND_STEPS) {
      test(`should be told as one that may have run where the second ${what}`, async () => {
        const chat = new TestChat({ "small-1": FAILED, ...second });
        const err = await chat[form](CASCADE);
        assert.deepEqual(chat.attemptedServers, [
          "small-1",
          ...Object.keys(second),
        ]);
        assert.ok(err);
        assert.equal(executionStatusOf(err), "maybe");
        assert.equal(httpStatusOf(err), status);
      });
    }
  });

  describe(`a cascade of which no step was taken (${form})`, () => {
    test("should be told as one that has not run, and when to come back", async () => {
      const chat = new TestChat({ "small-1": () => REFUSED });
      const err = await chat[form](CASCADE);
      assert.ok(err);
      assert.equal(executionStatusOf(err), "no");
      assert.equal(httpStatusOf(err), 503);
    });
  });
}
