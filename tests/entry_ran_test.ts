/**
 * Guards against reporting a request as not run after a server may have run it. A stream was cut
 * before its first event reached the client, and the client got 503, 401 or 502 with `ran: "no"`.
 * The second round of attempts started without the outcome of the first, so only the last reason
 * for not reaching a server was reported.
 *
 * The same happened between the steps of a cascade, with whole and streamed answers: the first
 * step's server failed during the attempt, the second step had no server or one that refused, and
 * the error of the second step replaced that of the first.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { BackendError } from "../src/backends/backend_error.ts";
import { executionStatusOf, httpStatusOf } from "../src/core/request_error.ts";
import { CASCADE, type ServerScript, TestChat } from "./fixtures/test_chat.ts";

const CONNECTION_REFUSED: BackendError = {
  tag: "refused",
  reason: "ECONNREFUSED",
};
const STREAM_CUT: ServerScript = () => [[{
  tag: "cut",
  error: { tag: "failed", reason: "ECONNRESET" },
}]];

describe("a stream that was cut before its first event", () => {
  test("should be reported as possibly run when there is no other server", async () => {
    const chat = new TestChat({ "small-1": STREAM_CUT });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be reported as possibly run when its key is withdrawn during the attempt", async () => {
    const chat: TestChat = new TestChat({
      "small-1": (call) => {
        chat.withdrawKey();
        return STREAM_CUT(call);
      },
      "small-2": STREAM_CUT,
    });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be reported as possibly run when the next server refuses the connection", async () => {
    const chat = new TestChat({
      "small-1": STREAM_CUT,
      "small-2": () => CONNECTION_REFUSED,
    });
    const err = await chat.stream("small");
    assert.deepEqual(chat.attemptedServers, ["small-1", "small-2"]);
    assert.ok(err);
    assert.equal(executionStatusOf(err), "maybe");
    assert.equal(httpStatusOf(err), 502);
  });

  test("should be reported as possibly run when its deadline ends before the next byte", async () => {
    const chat: TestChat = new TestChat({
      "small-1": STREAM_CUT,
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

describe("a stream that no server accepted", () => {
  test("should be reported as not run", async () => {
    const chat = new TestChat({ "small-1": () => CONNECTION_REFUSED });
    const err = await chat.stream("small");
    assert.ok(err);
    assert.equal(executionStatusOf(err), "no");
  });
});

const CONNECTION_FAILED: ServerScript = () => ({
  tag: "failed",
  reason: "ECONNRESET",
});
const SECOND_STEP_OUTCOMES: [string, Record<string, ServerScript>, number][] = [
  ["has no server", {}, 502],
  ["is refused", { "large-1": () => CONNECTION_REFUSED }, 502],
  ["is aborted before it is sent", {
    "large-1": () => ({ tag: "aborted", sent: false }),
  }, 504],
];

for (const form of ["answer", "stream"] as const) {
  describe(`a cascade whose first step may have run (${form})`, () => {
    for (const [outcome, second, status] of SECOND_STEP_OUTCOMES) {
      test(`should be reported as possibly run when the second step ${outcome}`, async () => {
        const chat = new TestChat({ "small-1": CONNECTION_FAILED, ...second });
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

  describe(`a cascade of which no server accepted a step (${form})`, () => {
    test("should be reported as not run, with status 503", async () => {
      const chat = new TestChat({ "small-1": () => CONNECTION_REFUSED });
      const err = await chat[form](CASCADE);
      assert.ok(err);
      assert.equal(executionStatusOf(err), "no");
      assert.equal(httpStatusOf(err), 503);
    });
  });
}
