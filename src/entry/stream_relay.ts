/** Relays a stream from a model server to a caller after a confidence check of its beginning. */

import { describeBackendError } from "../backends/backend_error.ts";
import type { ChatStream, StreamEvent } from "../backends/model_servers.ts";
import { isConfidentAnswer } from "../core/cascade/answer_confidence.ts";
import type { RequestError } from "../core/request_error.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Deadline } from "../runtime/deadline.ts";
import type { Target } from "./backend_selector.ts";

/** Destination of a streamed answer. */
export interface ChatSink {
  /** Sends the headers; called once, before the first event. */
  start(target: Target): void;
  /**
   * Sends events; resolves to true when more can be sent, or to false if the caller disconnected.
   */
  write(data: readonly string[]): Promise<boolean>;
  /** Ends a complete answer. */
  end(): void;
  /**
   * Ends an incomplete answer with an error, so that the caller can tell it from a complete one.
   */
  fail(err: RequestError): void;
}

/** Result of a relayed stream, which decides whether the next cascade step is tried. */
export type RelayResult =
  | { readonly tag: "passed" }
  | { readonly tag: "poor" }
  | { readonly tag: "cut"; readonly error: RequestError };

/** Result of a relayed stream and the state of its server. */
export interface RelayOutcome {
  readonly result: RelayResult;
  /** Whether the server has finished the request, so that no cancellation is needed. */
  readonly ended: boolean;
  readonly serverFailed: boolean;
}

interface Deps {
  readonly target: Target;
  readonly stream: ChatStream;
  readonly deadline: Deadline;
  readonly sink: ChatSink;
  readonly entryMetrics: EntryMetrics;
  /** Called when the confidence check passes, just before the first event is sent. */
  readonly onConfident: () => void;
}

/** Relay of one stream. */
export class StreamRelay {
  readonly #deps: Deps;
  readonly #batches: AsyncIterator<readonly StreamEvent[]>;
  readonly #buffered: string[] = [];
  readonly #logprobs: number[] = [];
  #textLength = 0;
  #tokens = 0;
  #started = false;
  #finished = false;
  #skipsConfidenceCheck = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#batches = deps.stream[Symbol.asyncIterator]();
  }

  /**
   * Relays until the end, a cut, or a failed confidence check, after which the stream stays open.
   */
  async run(): Promise<RelayOutcome> {
    let outcome: RelayOutcome | undefined;
    try {
      while (outcome === undefined) outcome = await this.#relayBatch();
      return outcome;
    } finally {
      // A stream with low confidence stays open as a fallback for `forwardAnyway`.
      if (outcome?.result.tag !== "poor") await this.close();
    }
  }

  /** Relays a stream despite low confidence, once its next batch arrives or if it has ended. */
  async forwardAnyway(): Promise<RelayOutcome> {
    this.#skipsConfidenceCheck = true;
    const outcome = this.#finished ? await this.#forward() : undefined;
    return outcome ?? await this.run();
  }

  /** Stops reading; to be called by the holder of a stream with low confidence. */
  async close(): Promise<void> {
    await this.#batches.return?.();
  }

  async #relayBatch(): Promise<RelayOutcome | undefined> {
    const next = await this.#batches.next();
    if (next.done === true) {
      return this.#cut({
        tag: "cut",
        error: { tag: "failed", reason: "stream ended without an end event" },
      });
    }
    const last = next.value[next.value.length - 1];
    this.#buffer(next.value);
    if (last?.tag === "cut") return this.#cut(last);
    this.#finished = last?.tag === "end";
    return await this.#forward();
  }

  /**
   * Sends the buffered events once the confidence check passes; returns undefined while the stream
   * continues.
   */
  async #forward(): Promise<RelayOutcome | undefined> {
    const ended = this.#finished;
    if (!this.#started) {
      const confidence = this.#checkConfidence(ended);
      if (confidence === "poor") {
        return { result: { tag: "poor" }, ended, serverFailed: false };
      }
      if (confidence === "unknown") return undefined;
      this.#started = true;
      if (!this.#skipsConfidenceCheck) this.#deps.onConfident();
      this.#deps.sink.start(this.#deps.target);
    }
    if (!await this.#deps.sink.write(this.#buffered.splice(0))) {
      return { result: { tag: "passed" }, ended, serverFailed: false };
    }
    return ended ? this.#finish() : undefined;
  }

  #buffer(batch: readonly StreamEvent[]): void {
    for (const event of batch) {
      if (event.tag !== "chunk") continue;
      this.#buffered.push(event.text);
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

  #checkConfidence(finished: boolean): "good" | "poor" | "unknown" {
    const rules = this.#deps.target.step.escalation;
    if (rules === undefined || this.#skipsConfidenceCheck) return "good";
    if (!finished && this.#tokens < rules.tokensToJudge) return "unknown";
    const isConfident = isConfidentAnswer({
      logprobs: this.#logprobs,
      textLength: this.#textLength,
      finishReason: finished ? "stop" : undefined,
    }, rules);
    return isConfident ? "good" : "poor";
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
