/** Evaluates a canary against the stable release that it is to replace. */

import type { Evidence, EvidenceByKind } from "./evidence.ts";
import { logLikelihoodRatio } from "./failure_likelihood.ts";
import { type LatencyComparison, meanLog } from "./latency_comparison.ts";

/** `bad` ends the roll-out, `sound` lets it proceed, `unsure` requires more answers. */
export type CanaryEvaluation =
  | { readonly tag: "unsure"; readonly answers: number }
  | { readonly tag: "sound"; readonly answers: number }
  | {
    readonly tag: "bad";
    /** Route and model on which the release is bad; undefined if over all of them together. */
    readonly kind: string | undefined;
    readonly reason: "failures" | "slow";
    readonly answers: number;
    readonly failures: number;
  };

/** Minimum number of canary failures before a release is found bad. */
const MIN_FAILURES = 4;
/**
 * Log-likelihood ratio from which a release is bad. About ten routes and models are tested
 * repeatedly, so that a ratio of 20, as for a single test, would occur by chance in many roll-outs.
 */
const BAD_LOG_RATIO = Math.log(300);
/** Log-likelihood ratio up to which a release is sound, so that its share may grow. */
const SOUND_LOG_RATIO = -Math.log(4);
/** The same for latencies: a slow release that proceeds is noticed by many more callers. */
const SOUND_LATENCY_LOG_RATIO = -Math.log(20);
/** Minimum number of responses per route and model before that kind's latency is evaluated. */
const MIN_LATENCIES = 10;
/**
 * Ratio of the geometric mean latencies from which a release is bad. High enough for a cold cache, with
 * which a release has to prefill whole prompts that are mostly cached otherwise.
 */
const SLOW_FACTOR = 4.2;
/** Minimum number of canary answers before a release is found sound. */
const MIN_SOUND_ANSWERS = 12;

/** Evidence on both releases. */
export interface ReleasePair {
  readonly stable: EvidenceByKind;
  readonly canary: EvidenceByKind;
}

/** Evaluates a canary by the evidence of the whole fleet. */
export function evaluateCanary(
  { stable, canary, concurrent, latency }: ReleasePair & {
    /**
     * Evidence from a time in which both releases received requests; undefined if there is none. The
     * load before may have been lighter, and the stable release faster.
     */
    concurrent?: ReleasePair | undefined;
    /** Comparison of the latencies; undefined if there is nothing to compare with. */
    latency?: LatencyComparison | undefined;
  },
): CanaryEvaluation {
  const canaryTotal = sum([...canary.values()]);
  const stableTotal = sum([...stable.values()]);
  const totals = {
    canary: canaryTotal,
    stable: stableTotal,
    overall: stableTotal,
  };
  const bad = checkFailures(undefined, totals);
  if (bad !== undefined) return bad;
  for (const [kind, evidence] of canary) {
    const stableCounts = stable.get(kind);
    const badKind = checkFailures(kind, {
      canary: evidence,
      stable: stableCounts ?? stableTotal,
      overall: stableTotal,
    }) ?? checkLatency(kind, concurrent ?? { stable, canary });
    if (badKind !== undefined) return badKind;
  }
  const { answers, failures } = canaryTotal;
  if (latency !== undefined && latency.logRatio >= BAD_LOG_RATIO) {
    return { tag: "bad", kind: undefined, reason: "slow", answers, failures };
  }
  const sound = answers >= MIN_SOUND_ANSWERS &&
    logLikelihoodRatio(canaryTotal, totals) <= SOUND_LOG_RATIO &&
    (latency === undefined || latency.logRatio <= SOUND_LATENCY_LOG_RATIO);
  return { tag: sound ? "sound" : "unsure", answers };
}

type Counts = Pick<Evidence, "answers" | "failures">;

function checkFailures(
  kind: string | undefined,
  { canary, stable, overall }: {
    canary: Counts;
    stable: Counts;
    overall: Counts;
  },
): CanaryEvaluation | undefined {
  const { answers, failures } = canary;
  if (failures < MIN_FAILURES) return undefined;
  const ratio = logLikelihoodRatio(canary, { stable, overall });
  if (ratio < BAD_LOG_RATIO) return undefined;
  return { tag: "bad", kind, reason: "failures", answers, failures };
}

function checkLatency(
  kind: string,
  pair: ReleasePair,
): CanaryEvaluation | undefined {
  const stable = pair.stable.get(kind);
  const canary = pair.canary.get(kind);
  if (stable === undefined || stable.latencies < MIN_LATENCIES) {
    return undefined;
  }
  if (canary === undefined || canary.latencies < MIN_LATENCIES) {
    return undefined;
  }
  const logSlowdown = meanLog(canary) - meanLog(stable);
  if (logSlowdown < Math.log(SLOW_FACTOR)) return undefined;
  const { answers, failures } = canary;
  return { tag: "bad", kind, reason: "slow", answers, failures };
}

function sum(rows: readonly Counts[]): Counts {
  return rows.reduce<Counts>((total, row) => ({
    answers: total.answers + row.answers,
    failures: total.failures + row.failures,
  }), { answers: 0, failures: 0 });
}
