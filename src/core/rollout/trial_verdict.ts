/** Judges a release on trial against the one that it should replace. */

import type { Evidence, EvidenceByKind } from "./evidence.ts";

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
 * A release is found bad when it fails this many times as often as the stable one, plus
 * a share that chance and single bad servers explain.
 */
const FAILURE_FACTOR = 3;
const FAILURE_SLACK = 0.1;
/** Answers on a route, at least, before its latency is judged. */
const MIN_LATENCY_ANSWERS = 10;
/**
 * How many times slower, in the geometric mean, a bad release is. With a cold cache a
 * release reads whole prompts: up to 3.2 times the tokens where most is shared, as
 * worked out from the users' sheets.
 */
const SLOW_FACTOR = 4.2;
/** Answers on trial, at least, before a release is found sound. */
const MIN_SOUND_ANSWERS = 25;

/** Judges by all evidence of the fleet. */
export function judgeTrial(
  { stable, trial }: {
    stable: EvidenceByKind;
    trial: EvidenceByKind;
  },
): Verdict {
  const allTrial = sum([...trial.values()]);
  const allStable = sum([...stable.values()]);
  const bad = badOn(undefined, { trial: allTrial, stable: allStable });
  if (bad !== undefined) return bad;
  for (const [kind, evidence] of trial) {
    const before = stable.get(kind) ?? allStable;
    const found = badOn(kind, { trial: evidence, stable: before }) ??
      slowOn(kind, { trial: evidence, stable: stable.get(kind) });
    if (found !== undefined) return found;
  }
  const { answers } = allTrial;
  return { tag: answers >= MIN_SOUND_ANSWERS ? "sound" : "unsure", answers };
}

type Counts = Pick<Evidence, "answers" | "failures" | "logMsSum">;

function badOn(
  kind: string | undefined,
  { trial, stable }: { trial: Counts; stable: Counts },
): Verdict | undefined {
  const { answers, failures } = trial;
  if (failures < MIN_FAILURES) return undefined;
  const before = stable.answers === 0 ? 0 : stable.failures / stable.answers;
  if (failures / answers <= FAILURE_FACTOR * before + FAILURE_SLACK) {
    return undefined;
  }
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
