/** Judges from an answer itself whether a better model should be asked. */

import type { JudgeRules } from "./cascade_plan.ts";

/** What is known of an answer, or of its beginning. */
export interface AnswerSigns {
  /** Log-probabilities of its tokens, where the engine gave them. */
  readonly logprobs: readonly number[];
  /** Length of the text, in characters. */
  readonly textLength: number;
  /** Why the engine ended the answer; undefined while it goes on. */
  readonly finishReason: string | undefined;
}

/** Returns whether the answer is good enough to be passed on. */
export function isGoodEnough(signs: AnswerSigns, rules: JudgeRules): boolean {
  if (signs.finishReason !== undefined && signs.textLength === 0) return false;
  if (signs.logprobs.length === 0) return true;
  const sum = signs.logprobs.reduce((total, logprob) => total + logprob, 0);
  return sum / signs.logprobs.length >= rules.escalateBelow;
}
