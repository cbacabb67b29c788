/** Decides from the answer itself whether a larger model should be used. */

import type { EscalationRules } from "./cascade_plan.ts";

/** Signals of a complete or partial reply. */
export interface AnswerSignals {
  /** Log-probabilities of its tokens, if the engine provided them. */
  readonly logprobs: readonly number[];
  /** Length of the text, in characters. */
  readonly textLength: number;
  /** Why the engine ended the answer; undefined while it is being generated. */
  readonly finishReason: string | undefined;
}

/** Whether the answer is confident enough to be returned to the caller. */
export function isConfidentAnswer(
  reply: AnswerSignals,
  rules: EscalationRules,
): boolean {
  if (reply.finishReason !== undefined && reply.textLength === 0) return false;
  if (reply.logprobs.length === 0) return true;
  const sum = reply.logprobs.reduce((total, logprob) => total + logprob, 0);
  return sum / reply.logprobs.length >= rules.escalateBelow;
}
