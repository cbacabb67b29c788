import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { HangingListener } from "../../tests/fixtures/hanging_listener.ts";
import { nextTurn } from "../runtime/next_turn.ts";
import { TcpServerConnector } from "./server_connector.ts";

const CONNECT_TIMEOUT_MS = 400;

let listener: HangingListener;

beforeEach(() => {
  listener = new HangingListener();
});

afterEach(async () => {
  mock.timers.reset();
  await listener.close();
});

describe("connections to backend servers", () => {
  // In an incident, attempts at servers that could not be reached were 900 to 1,000 ms apart: the
  // timers of undici round a connect timeout of 400 ms up to their next tick of half a second or
  // the one after it. Requests with less time than that ended before another server was tried.
  it("should fail when the connect timeout has passed, and not at a later tick", async () => {
    const target = await listener.listen();
    mock.timers.enable({ apis: ["setTimeout"] });
    const failed = new Promise<string | undefined>((resolve) =>
      new TcpServerConnector().connect(
        target,
        (result) =>
          resolve("error" in result ? result.error.code : "connected"),
      )
    );
    mock.timers.tick(CONNECT_TIMEOUT_MS);
    for (let turn = 0; turn < 5; turn++) await nextTurn();
    const pending = Promise.resolve("pending");
    assert.equal(await Promise.race([failed, pending]), "ETIMEDOUT");
  });
});
