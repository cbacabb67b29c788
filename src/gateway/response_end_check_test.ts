import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type {
  ProcessState,
  ServerExitCheck,
} from "../backends/server_exit_check.ts";
import { type CheckedOutcome, ResponseEndCheck } from "./response_end_check.ts";

const server = serverRecord("i-1", { address: "10.0.0.1:80" });
const UNFRAMED: BackendAttemptOutcome = { tag: "streamed", framed: false };

/** Checks a response whose server is in the given state; counts the connections it takes. */
async function check(
  outcome: BackendAttemptOutcome,
  { state = "exited", hasIdle = false, hasPartialEvent = false }: {
    state?: ProcessState;
    hasIdle?: boolean;
    hasPartialEvent?: boolean;
  } = {},
): Promise<CheckedOutcome & { connections: number }> {
  let connections = 0;
  const stateOf = () => {
    connections += 1;
    return Promise.resolve(state);
  };
  const endCheck = new ResponseEndCheck({
    backendConnectionPool: { hasIdle: () => hasIdle },
    serverExitCheck: { stateOf } as unknown as ServerExitCheck,
  });
  const checked = await endCheck.check(outcome, { server, hasPartialEvent });
  return { ...checked, connections };
}

describe("end of a response without an end mark", () => {
  it("should count as cut if the server exited", async () => {
    const { outcome, isComplete } = await check(UNFRAMED);
    assert.equal(outcome.tag, "stream_broken");
    assert.equal(isComplete, false);
  });

  it("should count as complete if the server runs", async () => {
    const checked = await check(UNFRAMED, { state: "running" });
    assert.deepEqual([checked.outcome, checked.isComplete], [UNFRAMED, true]);
  });

  it("should be passed on, but clear nothing, if the server does not answer", async () => {
    const checked = await check(UNFRAMED, { state: "unknown" });
    assert.deepEqual([checked.outcome, checked.isComplete], [UNFRAMED, false]);
  });

  it("should cost no connection while an idle one is open", async () => {
    const checked = await check(UNFRAMED, { hasIdle: true });
    assert.deepEqual([checked.isComplete, checked.connections], [true, 0]);
  });
});

describe("end of a stream inside an event", () => {
  it("should count as cut whatever marks it", async () => {
    const framed: BackendAttemptOutcome = { tag: "streamed", framed: true };
    const checked = await check(framed, { hasPartialEvent: true });
    assert.equal(checked.outcome.tag, "stream_broken");
    assert.equal(checked.connections, 0);
  });
});

describe("end of a response with an end mark", () => {
  it("should cost no connection", async () => {
    const checked = await check({ tag: "streamed", framed: true });
    assert.deepEqual([checked.isComplete, checked.connections], [true, 0]);
  });
});
