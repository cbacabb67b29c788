/** Sends a generation as server-sent events while tokens are generated. */

import type { ServerResponse } from "node:http";
import { END_OF_STREAM } from "../protocol/chat_schema.ts";
import type { Generation } from "./generation.ts";
import type { ModelFaults } from "./model_faults.ts";

interface StreamOptions {
  readonly res: ServerResponse;
  readonly logprobs: boolean;
  /** Number of tokens that the client has received already. */
  readonly offset: number;
  readonly faults: ModelFaults;
}

/** One response stream of a generation. */
export class GenerationStream {
  readonly #generation: Generation;
  readonly #options: StreamOptions;
  #sent: number;
  #ended = false;

  constructor(generation: Generation, options: StreamOptions) {
    this.#generation = generation;
    this.#options = options;
    this.#sent = options.offset;
  }

  /** Sends the tokens generated so far, then each further token. */
  start(): void {
    const { res } = this.#options;
    res.writeHead(200, { "content-type": "text/event-stream" });
    const unsubscribe = this.#generation.onProgress(() => this.#flush());
    res.once("close", unsubscribe);
    this.#flush();
  }

  #flush(): void {
    const { res, faults } = this.#options;
    if (this.#ended || res.destroyed) return;
    let text = "";
    while (this.#sent < this.#generation.tokens) {
      if (this.#sent === faults.end_after_tokens) return this.#end(text);
      if (this.#sent === faults.cut_after_tokens) return this.#abort(text);
      text += this.#tokenEvent(this.#sent);
      this.#sent += 1;
    }
    if (this.#generation.cancelled) return this.#abort(text);
    if (this.#generation.finished) {
      this.#end(`${text}${this.#finalEvent()}data: ${END_OF_STREAM}\n\n`);
    } else if (text !== "") res.write(text);
  }

  #end(text: string): void {
    this.#ended = true;
    this.#options.res.end(text);
  }

  #abort(text: string): void {
    this.#ended = true;
    this.#options.res.write(text, () => this.#options.res.destroy());
  }

  #tokenEvent(index: number): string {
    const delta = { content: this.#generation.tokenText(index) };
    const { logprob } = this.#generation;
    const logprobs = this.#options.logprobs ? { content: [{ logprob }] } : null;
    return this.#chunk({ index: 0, delta, logprobs, finish_reason: null });
  }

  #finalEvent(): string {
    return this.#chunk({
      index: 0,
      delta: {},
      logprobs: null,
      finish_reason: "stop",
    });
  }

  #chunk(choice: object): string {
    const { requestId, model } = this.#generation.input;
    const id = this.#options.faults.wrong_id === true
      ? `other-${requestId}`
      : requestId;
    const chunk = {
      id,
      object: "chat.completion.chunk",
      model,
      choices: [choice],
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }
}
