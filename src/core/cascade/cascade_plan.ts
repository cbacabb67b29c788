/** Resolves the model or cascade name of a request to the models to try, in order. */

import type { Account, Cascade, Model } from "../config/configuration.ts";
import type { ConfigurationIndex } from "../config/configuration_index.ts";
import type { RequestError } from "../request_error.ts";
import { fail, ok, type Result } from "../result.ts";

/** One model of a cascade and the rules for evaluating its answer. */
export interface CascadeStep {
  readonly model: Model;
  /** Rules for escalating to the next step; absent on the last one. */
  readonly escalation?: EscalationRules;
}

/** When an answer is rejected in favour of the next step. */
export interface EscalationRules {
  /** Mean token log-probability below which the next step is tried. */
  readonly escalateBelow: number;
  /** Number of tokens of a stream that are held back until they are evaluated. */
  readonly tokensToJudge: number;
}

/** Returns the steps for `name`, or the reason why the account may not use it. */
export function planCascade(
  index: ConfigurationIndex,
  { account, name }: { account: Account; name: string },
): Result<CascadeStep[], RequestError> {
  const model = index.model(name);
  const cascade = index.cascade(name);
  if (model === undefined && cascade === undefined) {
    return fail({ tag: "unknown_model", name });
  }
  if (!account.models.includes(name)) return fail({ tag: "not_allowed", name });
  if (model !== undefined) return ok([{ model }]);
  return ok(withoutLastEscalation(stepsOf(index, cascade as Cascade)));
}

/** An account with access to a cascade may use its models, but only through the cascade. */
function stepsOf(index: ConfigurationIndex, cascade: Cascade): CascadeStep[] {
  const escalation = {
    escalateBelow: cascade.escalate_below,
    tokensToJudge: cascade.judge_tokens,
  };
  return cascade.steps.flatMap((step) => {
    const model = index.model(step);
    if (model !== undefined) return [{ model, escalation }];
    const nested = index.cascade(step);
    return nested === undefined ? [] : stepsOf(index, nested);
  });
}

function withoutLastEscalation(steps: CascadeStep[]): CascadeStep[] {
  return steps.map((step, at) =>
    at < steps.length - 1 ? step : { model: step.model }
  );
}
