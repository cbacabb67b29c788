/** One answer that the model server stand-in generates token by token. */

import { unitHash } from "../runtime/hashing.ts";

const CONFIDENT_LOGPROB = -0.2;
const UNCERTAIN_LOGPROB = -1.4;
const WORDS = [
  "leaf",
  "soil",
  "water",
  "light",
  "stock",
  "batch",
  "part",
  "scan",
];

/** Input from which an answer is derived deterministically. */
export interface GenerationInput {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Share of prompts that the version answers correctly, from 0 to 1. */
  readonly quality: number;
  /** Whether wrong answers get the same token probabilities as correct ones. */
  readonly confidentWhenWrong: boolean;
}

/** An answer being generated; its text depends on its input only. */
export class Generation {
  readonly input: GenerationInput;
  readonly correct: boolean;
  readonly #listeners = new Set<() => void>();
  #tokens = 0;
  #cancelled = false;

  constructor(input: GenerationInput) {
    this.input = input;
    // The same hash for all versions: a better version answers correctly every prompt that a
    // worse one does.
    this.correct = unitHash(input.prompt) < input.quality;
  }

  /** Number of tokens generated so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether all tokens have been generated. */
  get finished(): boolean {
    return this.#tokens >= this.input.maxTokens;
  }

  get cancelled(): boolean {
    return this.#cancelled;
  }

  /** Log-probability that is reported for each token. */
  get logprob(): number {
    return this.correct || this.input.confidentWhenWrong
      ? CONFIDENT_LOGPROB
      : UNCERTAIN_LOGPROB;
  }

  /** Calls `listener` on each advance and on cancellation; returns a function that removes it. */
  onProgress(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Generates up to `tokens` further tokens. */
  advance(tokens: number): void {
    this.#tokens = Math.min(this.input.maxTokens, this.#tokens + tokens);
    for (const listener of this.#listeners) listener();
  }

  /** Cancels the generation and notifies the listeners. */
  cancel(): void {
    this.#cancelled = true;
    for (const listener of this.#listeners) listener();
  }

  /**
   * Returns the text of one token; the first one marks the answer as right or wrong for the
   * rating stand-in.
   */
  tokenText(index: number): string {
    if (index === 0) return this.correct ? "right:" : "wrong:";
    return ` ${WORDS[(index + this.input.prompt.length) % WORDS.length]}`;
  }

  /** Returns the text generated so far. */
  text(): string {
    return Array.from(
      { length: this.#tokens },
      (_, index) => this.tokenText(index),
    ).join(
      "",
    );
  }
}
