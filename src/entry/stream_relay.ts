/** Passes a stream from a model server to a caller, judging its beginning first. */

import { describeBackendError } from "../backends/backend_error.ts";
import type { ChatStream, StreamEvent } from "../backends/model_servers.ts";
import { isConfidentAnswer } from "../core/cascade/answer_confidence.ts";
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
  readonly stream: ChatStream;
  readonly deadline: Deadline;
  readonly sink: ChatSink;
  readonly entryMetrics: EntryMetrics;
  /** Called when a beginning is good enough, just before it goes to the caller. */
  readonly onGood: () => void;
}

/** One stream on its way to a caller. */
export class StreamRelay {
  readonly #deps: Deps;
  readonly #batches: AsyncIterator<readonly StreamEvent[]>;
  readonly #held: string[] = [];
  readonly #logprobs: number[] = [];
  #textLength = 0;
  #tokens = 0;
  #started = false;
  #finished = false;
  #takesAny = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#batches = deps.stream[Symbol.asyncIterator]();
  }

  /** Relays until the end, the first cut, or a poor beginning; that one stays open. */
  async run(): Promise<RelayOutcome> {
    let outcome: RelayOutcome | undefined;
    try {
      while (outcome === undefined) outcome = await this.#relayBatch();
      return outcome;
    } finally {
      // Nothing better may be to be had, so a poor beginning is kept for `passOn`.
      if (outcome?.result.tag !== "poor") await this.close();
    }
  }

  /** Relays a poor beginning after all, as soon as its stream shows that it goes on. */
  async passOn(): Promise<RelayOutcome> {
    this.#takesAny = true;
    const whole = this.#finished ? await this.#send() : undefined;
    return whole ?? await this.run();
  }

  /** Reads no further; whoever holds a poor beginning calls it. */
  async close(): Promise<void> {
    await this.#batches.return?.();
  }

  async #relayBatch(): Promise<RelayOutcome | undefined> {
    const next = await this.#batches.next();
    if (next.done === true) {
      return this.#cut({
        tag: "cut",
        error: { tag: "failed", reason: "no end" },
      });
    }
    const last = next.value[next.value.length - 1];
    this.#hold(next.value);
    if (last?.tag === "cut") return this.#cut(last);
    this.#finished = last?.tag === "end";
    return await this.#send();
  }

  /** Sends what is held if it is good enough; returns nothing while more is to come. */
  async #send(): Promise<RelayOutcome | undefined> {
    const ended = this.#finished;
    if (!this.#started) {
      const verdict = this.#judge(ended);
      if (verdict === "poor") {
        return { result: { tag: "poor" }, ended, serverFailed: false };
      }
      if (verdict === "unknown") return undefined;
      this.#started = true;
      if (!this.#takesAny) this.#deps.onGood();
      this.#deps.sink.start(this.#deps.target);
    }
    if (!await this.#deps.sink.write(this.#held.splice(0))) {
      return { result: { tag: "passed" }, ended, serverFailed: false };
    }
    return ended ? this.#finish() : undefined;
  }

  #hold(batch: readonly StreamEvent[]): void {
    for (const event of batch) {
      if (event.tag !== "chunk") continue;
      this.#held.push(event.text);
      const choice = event.chunk.choices[0];
      const content = choice?.delta.content ?? "";
      if (content !== "") this.#tokens += 1;
      this.#textLength += content.length;
      if (this.#started || this.#deps.target.step.escalation === undefined) {
        continue;
      }
      for (const { logprob } of choice?.logprobs?.content ?? []) {
        this.#logprobs.push(logprob);
      }
    }
  }

  #judge(finished: boolean): "good" | "poor" | "unknown" {
    const rules = this.#deps.target.step.escalation;
    if (rules === undefined || this.#takesAny) return "good";
    if (!finished && this.#tokens < rules.tokensToJudge) return "unknown";
    const good = isConfidentAnswer({
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
