/**
 * Read in the code, then seen in these tests: a stream was cut at its server before its first
 * event had reached the caller, and the caller was told that no server had run it: 503, 401, or
 * 502 with `ran: "no"`. How: the second round of tries began as if nothing had been sent, so
 * whatever kept it from a server was all that the caller was told. Cause: what earlier tries
 * had shown was forgotten between two calls of the dispatcher.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { BackendError } from "../src/backends/backend_error.ts";
import { ranOf, statusOf } from "../src/core/request_error.ts";
import { type Play, TestChat } from "./fixtures/test_chat.ts";

const REFUSED: BackendError = { tag: "refused", reason: "ECONNREFUSED" };
const CUT: Play = () => [[{
  tag: "cut",
  error: { tag: "failed", reason: "ECONNRESET" },
}]];

describe("a stream that was cut before its first event", () => {
  test("should be told as one that may have run where no other server is there", async () => {
    const chat = new TestChat({ "small-1": CUT });
    const err = await chat.stream("small");
    assert.deepEqual(chat.tries, ["small-1"]);
    assert.ok(err);
    assert.equal(ranOf(err), "maybe");
    assert.equal(statusOf(err), 502);
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
    assert.deepEqual(chat.tries, ["small-1"]);
    assert.ok(err);
    assert.equal(ranOf(err), "maybe");
    assert.equal(statusOf(err), 502);
  });

  test("should be told as one that may have run where the next server refuses it", async () => {
    const chat = new TestChat({ "small-1": CUT, "small-2": () => REFUSED });
    const err = await chat.stream("small");
    assert.deepEqual(chat.tries, ["small-1", "small-2"]);
    assert.ok(err);
    assert.equal(ranOf(err), "maybe");
    assert.equal(statusOf(err), 502);
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
    assert.deepEqual(chat.tries, ["small-1", "small-2"]);
    assert.ok(err);
    assert.equal(ranOf(err), "maybe");
    assert.equal(err.tag, "cancelled");
  });
});

describe("a stream that no server took", () => {
  test("should be told as one that has not run", async () => {
    const chat = new TestChat({ "small-1": () => REFUSED });
    const err = await chat.stream("small");
    assert.ok(err);
    assert.equal(ranOf(err), "no");
  });
});
