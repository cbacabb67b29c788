/** One answer that the model server stand-in generates, token by token. */

import { unitHash } from "../runtime/hashing.ts";

const GOOD_LOGPROB = -0.2;
const POOR_LOGPROB = -1.4;
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

/** What decides how an answer turns out. */
export interface GenerationInput {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Share of prompts that the version answers rightly, 0 to 1. */
  readonly quality: number;
  /** Whether wrong answers look as good as right ones. */
  readonly fluent: boolean;
}

/** An answer in the making; its text is a function of its input alone. */
export class Generation {
  readonly input: GenerationInput;
  readonly right: boolean;
  readonly #listeners = new Set<() => void>();
  #tokens = 0;
  #cancelled = false;

  constructor(input: GenerationInput) {
    this.input = input;
    // A better version answers all prompts rightly that a worse one does.
    this.right = unitHash(input.prompt) < input.quality;
  }

  /** Tokens generated so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether all tokens have been generated. */
  get finished(): boolean {
    return this.#tokens >= this.input.maxTokens;
  }

  /** Whether it was given up. */
  get cancelled(): boolean {
    return this.#cancelled;
  }

  /** Log-probability of each token. */
  get logprob(): number {
    return this.right || this.input.fluent ? GOOD_LOGPROB : POOR_LOGPROB;
  }

  /** Calls `listener` after each token and upon cancellation. */
  onProgress(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Generates the next tokens. */
  advance(tokens: number): void {
    this.#tokens = Math.min(this.input.maxTokens, this.#tokens + tokens);
    for (const listener of this.#listeners) listener();
  }

  /** Gives it up. */
  cancel(): void {
    this.#cancelled = true;
    for (const listener of this.#listeners) listener();
  }

  /** Text of one token; the first tells the rating service whether it is right. */
  word(at: number): string {
    if (at === 0) return this.right ? "right:" : "wrong:";
    return ` ${WORDS[(at + this.input.prompt.length) % WORDS.length]}`;
  }

  /** Text so far. */
  text(): string {
    return Array.from({ length: this.#tokens }, (_, at) => this.word(at)).join(
      "",
    );
  }
}
