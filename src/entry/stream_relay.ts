/** Passes a stream from a model server to a caller, judging its beginning first. */

import { describeBackendError } from "../backends/backend_error.ts";
import type { ChatStream, StreamEvent } from "../backends/model_servers.ts";
import { isGoodEnough } from "../core/cascade/answer_judge.ts";
import type { RequestError } from "../core/request_error.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { Target } from "./backend_selector.ts";

/** Where a streamed answer goes. */
export interface ChatSink {
  /** Sends the headers; called once, before the first event. */
  start(target: Target): void;
  /** Sends events; resolves when more may be sent, or `false` when the caller has gone. */
  write(data: readonly string[]): Promise<boolean>;
  /** Ends a whole answer. */
  end(): void;
  /** Ends an answer that is not whole, so that nobody takes it for one. */
  fail(err: RequestError): void;
}

/** How a relayed stream ended, as far as the plan goes. */
export type RelayResult =
  | { readonly tag: "passed" }
  | { readonly tag: "poor" }
  | { readonly tag: "cut"; readonly error: RequestError };

/** How a relayed stream ended. */
export interface RelayOutcome {
  readonly result: RelayResult;
  /** Whether the server has nothing left to do for it. */
  readonly ended: boolean;
  readonly serverFailed: boolean;
}

interface Deps {
  readonly target: Target;
  readonly deadline: Deadline;
  readonly sink: ChatSink;
  readonly entryMetrics: EntryMetrics;
}

/** One stream on its way to a caller. */
export class StreamRelay {
  readonly #deps: Deps;
  readonly #held: string[] = [];
  readonly #logprobs: number[] = [];
  #textLength = 0;
  #tokens = 0;
  #started = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Relays until the end, the first cut, or a poor beginning. */
  async run(stream: ChatStream): Promise<RelayOutcome> {
    for await (const batch of stream) {
      const last = batch[batch.length - 1];
      this.#hold(batch);
      if (last?.tag === "cut") return this.#cut(last);
      const finished = last?.tag === "end";
      if (!this.#started) {
        const verdict = this.#judge(finished);
        if (verdict === "poor") {
          return {
            result: { tag: "poor" },
            ended: finished,
            serverFailed: false,
          };
        }
        if (verdict === "unknown") continue;
        this.#started = true;
        this.#deps.sink.start(this.#deps.target);
      }
      if (!await this.#deps.sink.write(this.#held.splice(0))) {
        return {
          result: { tag: "passed" },
          ended: finished,
          serverFailed: false,
        };
      }
      if (finished) return this.#finish();
    }
    return this.#cut({
      tag: "cut",
      error: { tag: "failed", reason: "no end" },
    });
  }

  #hold(batch: readonly StreamEvent[]): void {
    for (const event of batch) {
      if (event.tag !== "chunk") continue;
      this.#held.push(event.text);
      const choice = event.chunk.choices[0];
      const content = choice?.delta.content ?? "";
      if (content !== "") this.#tokens += 1;
      this.#textLength += content.length;
      if (this.#started || this.#deps.target.step.judge === undefined) continue;
      for (const { logprob } of choice?.logprobs?.content ?? []) {
        this.#logprobs.push(logprob);
      }
    }
  }

  #judge(finished: boolean): "good" | "poor" | "unknown" {
    const rules = this.#deps.target.step.judge;
    if (rules === undefined) return "good";
    if (!finished && this.#tokens < rules.judgeTokens) return "unknown";
    const good = isGoodEnough({
      logprobs: this.#logprobs,
      textLength: this.#textLength,
      finishReason: finished ? "stop" : undefined,
    }, rules);
    return good ? "good" : "poor";
  }

  #finish(): RelayOutcome {
    const { step, version } = this.#deps.target;
    const labels = { model: step.model.id, version: version.id };
    this.#deps.entryMetrics.answers.inc(labels);
    this.#deps.entryMetrics.tokens.inc(labels, this.#tokens);
    this.#deps.sink.end();
    return { result: { tag: "passed" }, ended: true, serverFailed: false };
  }

  #cut({ error }: Extract<StreamEvent, { tag: "cut" }>): RelayOutcome {
    const aborted = error.tag === "aborted";
    const err = this.#requestError(describeBackendError(error));
    const outcome = { ended: false, serverFailed: !aborted };
    if (!this.#started) {
      return { result: { tag: "cut", error: err }, ...outcome };
    }
    this.#deps.sink.fail(err);
    return { result: { tag: "passed" }, ...outcome };
  }

  #requestError(reason: string): RequestError {
    const { deadline } = this.#deps;
    if (deadline.end === "cancelled") return { tag: "cancelled", ran: "maybe" };
    if (deadline.end === "expired") {
      return { tag: "deadline", limitMs: deadline.limitMs, ran: "maybe" };
    }
    return { tag: "stream_cut", reason };
  }
}
