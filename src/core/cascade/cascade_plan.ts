/** Turns the name that a caller gives into the models to try, in order. */

import type { Account, Cascade, Model } from "../config/configuration.ts";
import type { ConfigurationIndex } from "../config/configuration_index.ts";
import type { RequestError } from "../request_error.ts";
import { fail, ok, type Result } from "../result.ts";

/** One model of a plan and how its answer is judged. */
export interface PlanStep {
  readonly model: Model;
  /** Rules for going on to the next step; absent on the last one. */
  readonly judge?: JudgeRules;
}

/** When an answer is too poor to be passed on. */
export interface JudgeRules {
  /** Mean log-probability of tokens under which the next step is tried. */
  readonly escalateBelow: number;
  /** Tokens of a stream that are held back until it is judged. */
  readonly judgeTokens: number;
}

/** Returns the steps for `name`, or why the account gets none. */
export function planRequest(
  index: ConfigurationIndex,
  { account, name }: { account: Account; name: string },
): Result<PlanStep[], RequestError> {
  const model = index.model(name);
  const cascade = index.cascade(name);
  if (model === undefined && cascade === undefined) {
    return fail({ tag: "unknown_model", name });
  }
  if (!account.models.includes(name)) return fail({ tag: "not_allowed", name });
  if (model !== undefined) return ok([{ model }]);
  return ok(withoutLastJudge(stepsOf(index, cascade as Cascade)));
}

/** An account that may use a cascade may use its models, but only by way of it. */
function stepsOf(index: ConfigurationIndex, cascade: Cascade): PlanStep[] {
  const judge = {
    escalateBelow: cascade.escalate_below,
    judgeTokens: cascade.judge_tokens,
  };
  return cascade.steps.flatMap((step) => {
    const model = index.model(step);
    if (model !== undefined) return [{ model, judge }];
    const nested = index.cascade(step);
    return nested === undefined ? [] : stepsOf(index, nested);
  });
}

function withoutLastJudge(steps: PlanStep[]): PlanStep[] {
  return steps.map((step, at) =>
    at < steps.length - 1 ? step : { model: step.model }
  );
}
