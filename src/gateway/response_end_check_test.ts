import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type {
  ProcessState,
  ServerExitCheck,
} from "../backends/server_exit_check.ts";
import { type CheckedOutcome, ResponseEndCheck } from "./response_end_check.ts";

const BORN_MS = 1_000;
const server = serverRecord("i-1", {
  address: "10.0.0.1:80",
  bornMs: BORN_MS,
});
const UNFRAMED: BackendAttemptOutcome = { tag: "streamed", framed: false };

/** Checks a response whose server is in the given state; counts the connections it takes. */
async function check(
  outcome: BackendAttemptOutcome,
  {
    state = "exited",
    hasIdle = false,
    hasPartialEvent = false,
    listed = server,
    hasJustResumed = false,
    reportedMs,
    isModelServer = true,
  }: {
    state?: ProcessState;
    hasIdle?: boolean;
    hasPartialEvent?: boolean;
    /** Entry of the server in the list. */
    listed?: ServerRecord;
    hasJustResumed?: boolean;
    /** Start time that the server reports, if it does. */
    reportedMs?: number;
    isModelServer?: boolean;
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
    serverIncarnationCheck: {
      isSame: ({ bornMs }) => Promise.resolve(bornMs === reportedMs),
    },
    serverDirectory: { get: () => listed },
    suspensionDetector: { hasJustResumed },
  });
  const checked = await endCheck.check(outcome, {
    server,
    isModelServer,
    hasPartialEvent,
  });
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

/**
 * Streams that a crash had cut ended as complete at a VM that was frozen meanwhile: the server was
 * back at its address as the VM went on, and a connection to it was taken for proof that it runs.
 */
describe("end of a response whose server may have been replaced", () => {
  // Guards against ORDER: cut streams that end as complete.
  it("should count as cut if the list has a later incarnation", async () => {
    const listed = { ...server, bornMs: BORN_MS + 1 };
    for (const hasIdle of [true, false]) {
      const { outcome } = await check(UNFRAMED, {
        state: "running",
        hasIdle,
        listed,
      });
      assert.equal(outcome.tag, "stream_broken");
    }
  });

  // Guards against ORDER where the list is not news yet.
  it("should count as cut after a suspension unless the server reports its start time", async () => {
    const resumed = {
      state: "running",
      hasIdle: true,
      hasJustResumed: true,
    } as const;
    const tagOf = async (patch: object) =>
      (await check(UNFRAMED, { ...resumed, ...patch })).outcome.tag;
    assert.equal(await tagOf({ reportedMs: BORN_MS }), "streamed");
    assert.equal(await tagOf({ reportedMs: BORN_MS + 1 }), "stream_broken");
    assert.equal(await tagOf({}), "stream_broken");
    assert.equal(
      await tagOf({ reportedMs: BORN_MS, isModelServer: false }),
      "stream_broken",
    );
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
