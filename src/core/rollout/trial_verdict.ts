/** Judges a release on trial against the one that it should replace. */

import type { Evidence, EvidenceByKind } from "./evidence.ts";
import { logFailureRatio } from "./failure_ratio.ts";

/** `bad` ends the trial; `sound` lets it go on; `unsure` needs more answers. */
export type Verdict =
  | { readonly tag: "unsure"; readonly answers: number }
  | { readonly tag: "sound"; readonly answers: number }
  | {
    readonly tag: "bad";
    /** Route and model on which it shows; undefined where it shows on all together. */
    readonly kind: string | undefined;
    readonly reason: "failures" | "slow";
    readonly answers: number;
    readonly failures: number;
  };

/** Failures on trial, at least, before a release is found bad. */
const MIN_FAILURES = 4;
/**
 * How much likelier "bad" must be. Some ten kinds of answers are tested again and again,
 * so that a ratio of 20, as for a single test, would come by chance in many trials.
 */
const BAD_LOG_RATIO = Math.log(300);
/** How much likelier "sound" must be before a trial may grow. */
const SOUND_LOG_RATIO = -Math.log(4);
/** Answers on a route, at least, before its latency is judged. */
const MIN_LATENCY_ANSWERS = 10;
/**
 * How many times slower, in the geometric mean, a bad release is. With a cold cache a
 * release reads whole prompts, of which most is shared otherwise.
 */
const SLOW_FACTOR = 4.2;
/** Answers on trial, at least, before a release is found sound. */
const MIN_SOUND_ANSWERS = 12;

/** Judges by evidence of the fleet. */
export function judgeTrial(
  { stable, trial }: {
    stable: EvidenceByKind;
    trial: EvidenceByKind;
  },
): Verdict {
  const allTrial = sum([...trial.values()]);
  const allStable = sum([...stable.values()]);
  const all = { trial: allTrial, stable: allStable, overall: allStable };
  const bad = badOn(undefined, all);
  if (bad !== undefined) return bad;
  for (const [kind, evidence] of trial) {
    const same = stable.get(kind);
    const found = badOn(kind, {
      trial: evidence,
      stable: same ?? allStable,
      overall: allStable,
    }) ?? slowOn(kind, { trial: evidence, stable: same });
    if (found !== undefined) return found;
  }
  const { answers } = allTrial;
  const sound = answers >= MIN_SOUND_ANSWERS &&
    logFailureRatio(allTrial, all) <= SOUND_LOG_RATIO;
  return { tag: sound ? "sound" : "unsure", answers };
}

type Counts = Pick<Evidence, "answers" | "failures" | "logMsSum">;

function badOn(
  kind: string | undefined,
  { trial, stable, overall }: {
    trial: Counts;
    stable: Counts;
    overall: Counts;
  },
): Verdict | undefined {
  const { answers, failures } = trial;
  if (failures < MIN_FAILURES) return undefined;
  const ratio = logFailureRatio(trial, { stable, overall });
  if (ratio < BAD_LOG_RATIO) return undefined;
  return { tag: "bad", kind, reason: "failures", answers, failures };
}

function slowOn(
  kind: string,
  { trial, stable }: { trial: Counts; stable: Counts | undefined },
): Verdict | undefined {
  if (stable === undefined || stable.answers < MIN_LATENCY_ANSWERS) {
    return undefined;
  }
  if (trial.answers < MIN_LATENCY_ANSWERS) return undefined;
  const slower = trial.logMsSum / trial.answers -
    stable.logMsSum / stable.answers;
  if (slower < Math.log(SLOW_FACTOR)) return undefined;
  const { answers, failures } = trial;
  return { tag: "bad", kind, reason: "slow", answers, failures };
}

function sum(rows: readonly Counts[]): Counts {
  return rows.reduce<Counts>((total, row) => ({
    answers: total.answers + row.answers,
    failures: total.failures + row.failures,
    logMsSum: total.logMsSum + row.logMsSum,
  }), { answers: 0, failures: 0, logMsSum: 0 });
}
