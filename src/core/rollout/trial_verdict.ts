/** Judges a release on trial against the one that it should replace. */

import type { RouteId } from "../ids.ts";
import type { Evidence } from "./evidence.ts";

/** `bad` ends the trial; `sound` lets it go on; `unsure` needs more answers. */
export type Verdict =
  | { readonly tag: "unsure"; readonly answers: number }
  | { readonly tag: "sound"; readonly answers: number }
  | {
    readonly tag: "bad";
    readonly route: RouteId | undefined;
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
const MIN_LATENCY_ANSWERS = 8;
/** How many times slower, in the geometric mean, a bad release is. A cold cache is not. */
const SLOW_FACTOR = 3;
/** Answers on trial, at least, before a release is found sound. */
const MIN_SOUND_ANSWERS = 25;

/** Judges by all evidence of the fleet. */
export function judgeTrial(
  { stable, trial }: {
    stable: ReadonlyMap<RouteId, Evidence>;
    trial: ReadonlyMap<RouteId, Evidence>;
  },
): Verdict {
  const allTrial = sum([...trial.values()]);
  const allStable = sum([...stable.values()]);
  const bad = badOn(undefined, { trial: allTrial, stable: allStable });
  if (bad !== undefined) return bad;
  for (const [route, evidence] of trial) {
    const before = stable.get(route) ?? allStable;
    const found = badOn(route, { trial: evidence, stable: before }) ??
      slowOn(route, { trial: evidence, stable: stable.get(route) });
    if (found !== undefined) return found;
  }
  const { answers } = allTrial;
  return { tag: answers >= MIN_SOUND_ANSWERS ? "sound" : "unsure", answers };
}

type Counts = Pick<Evidence, "answers" | "failures" | "logMsSum">;

function badOn(
  route: RouteId | undefined,
  { trial, stable }: { trial: Counts; stable: Counts },
): Verdict | undefined {
  const { answers, failures } = trial;
  if (failures < MIN_FAILURES) return undefined;
  const before = stable.answers === 0 ? 0 : stable.failures / stable.answers;
  if (failures / answers <= FAILURE_FACTOR * before + FAILURE_SLACK) {
    return undefined;
  }
  return { tag: "bad", route, reason: "failures", answers, failures };
}

function slowOn(
  route: RouteId,
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
  return { tag: "bad", route, reason: "slow", answers, failures };
}

function sum(rows: readonly Counts[]): Counts {
  return rows.reduce<Counts>((total, row) => ({
    answers: total.answers + row.answers,
    failures: total.failures + row.failures,
    logMsSum: total.logMsSum + row.logMsSum,
  }), { answers: 0, failures: 0, logMsSum: 0 });
}
