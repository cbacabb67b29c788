/**
 * Guards against retries beyond a tenth of the requests: each step of a cascade, and each stream
 * that was started again after a cut, counted as a further request that earns retries.
 */

import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ModelServers, StreamEvent } from "../backends/model_servers.ts";
import type { CascadeStep } from "../core/cascade/cascade_plan.ts";
import type { BackendId, RequestId, Sha256 } from "../core/ids.ts";
import { EntryRetryBudget } from "../core/limits/entry_retry_budget.ts";
import { fail, ok } from "../core/result.ts";
import { ServerPool } from "../core/routing/server_pool.ts";
import { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { ChatRequest } from "../protocol/chat_schema.ts";
import { Deadline } from "../runtime/deadline.ts";
import type { BackendSelector, Target } from "./backend_selector.ts";
import { ChatService } from "./chat_service.ts";
import { ModelDispatcher } from "./model_dispatcher.ts";
import type { RequestContext } from "./request_context.ts";
import type { ChatSink } from "./stream_relay.ts";

const ESCALATION = { escalateBelow: -1, tokensToJudge: 1 };
const STEPS = [
  { model: { id: "small" }, escalation: ESCALATION },
  { model: { id: "medium" }, escalation: ESCALATION },
  { model: { id: "large" } },
] as unknown as CascadeStep[];

/** Counts the requests that earn retries. */
class CountingBudget extends EntryRetryBudget {
  deposits = 0;

  override deposit(): void {
    this.deposits += 1;
    super.deposit();
  }
}

const deadline = new Deadline(1);
deadline.close();
const ctx: RequestContext = {
  requestId: "r" as RequestId,
  keyHash: "0".repeat(64) as Sha256,
  account: { id: "nursery", priority: "normal" } as never,
  stickyKey: "r",
  deadline,
};
const req = { model: "cascade", messages: [] } as unknown as ChatRequest;
const sink: ChatSink = {
  start: () => {},
  write: () => Promise.resolve(true),
  end: () => {},
  fail: () => {},
};

let retryBudget: CountingBudget;
let calls: number;
let chatService: ChatService;

/** A stream that is cut before its first event. */
async function* cutStream(): AsyncGenerator<readonly StreamEvent[]> {
  const error = { tag: "failed", reason: "cut" } as const;
  yield await Promise.resolve([{ tag: "cut", error }]);
}

beforeEach(() => {
  retryBudget = new CountingBudget();
  calls = 0;
  const backendSelector = {
    plan: () => ok(STEPS),
    selectTarget: (step: CascadeStep): ReturnType<
      BackendSelector["selectTarget"]
    > => {
      const server = { id: `server-${calls}` as BackendId };
      return ok({ step, server, version: { id: "v1" } } as Target);
    },
  } as unknown as BackendSelector;
  const modelServers: ModelServers = {
    chat: () => {
      calls += 1;
      return Promise.resolve(fail({ tag: "failed", reason: "reset" }));
    },
    stream: () => {
      calls += 1;
      return Promise.resolve(ok(cutStream()));
    },
    cancel: () => {},
    load: () => Promise.resolve(ok({ running: 0, waiting: 0 })),
  };
  const deps = {
    backendSelector,
    modelServers,
    retryBudget,
    entryMetrics: new EntryMetrics(),
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    serverPool: new ServerPool(),
  };
  chatService = new ChatService({
    ...deps,
    modelDispatcher: new ModelDispatcher(deps),
  });
});

describe("a chat request that fails at all servers of a cascade", () => {
  it("should earn retries once for a complete answer", async () => {
    const answer = await chatService.answer(ctx, req);
    assert.equal(answer.ok, false);
    assert.ok(calls > STEPS.length);
    assert.equal(retryBudget.deposits, 1);
  });

  it("should earn retries once for a stream that is started again after cuts", async () => {
    const streamed = await chatService.stream(ctx, { req, sink });
    assert.equal(streamed.ok, false);
    assert.ok(calls > STEPS.length);
    assert.equal(retryBudget.deposits, 1);
  });
});
