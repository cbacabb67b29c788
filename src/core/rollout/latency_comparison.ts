/** Sequential test of whether a canary answers more slowly than the stable release. */

import type { EvidenceByKind } from "./evidence.ts";

/** Times to first byte of the responses of one route and model, as natural logarithms. */
export interface LatencyCounts {
  readonly latencies: number;
  readonly logMsSum: number;
  readonly logMsSquares: number;
}

/** Hypotheses that the test decides between, as natural logarithms of the canary's slowdown. */
interface Hypotheses {
  /** Slowdown that may be due to other causes than the release. */
  readonly tolerated: number;
  /** Slowdown of a bad release. */
  readonly slow: number;
}

const PLAIN: Hypotheses = { tolerated: Math.log(1.1), slow: Math.log(1.65) };
/** The prompt caches of new servers are cold. */
const WITH_MODELS: Hypotheses = {
  tolerated: Math.log(1.5),
  slow: Math.log(2.5),
};
/**
 * Sessions that move to the canary bring long prompts of which its servers have cached nothing; and without
 * concurrent requests on the stable release, the load may differ from that of its requests.
 */
const SESSIONS_MOVED: Hypotheses = {
  tolerated: Math.log(2),
  slow: Math.log(3.6),
};

/** Weight of the prior variance, in responses. */
const PRIOR_LATENCIES = 10;
/** Variance of the logarithm of times within a kind before any is known. */
const PRIOR_VARIANCE = 0.5;

/** Comparison of the times to first byte of two releases. */
export interface LatencyComparison {
  /** Responses of the canary that were compared. */
  readonly latencies: number;
  /** Estimated natural logarithm of the canary's slowdown. */
  readonly logSlowdown: number;
  /** Inverse of the variance of that estimate. */
  readonly precision: number;
  /** Log-likelihood ratio between a slow release and one that is no slower than tolerated. */
  readonly logRatio: number;
}

/**
 * Compares a canary with the stable release over all kinds of requests together: each kind with itself,
 * weighted by the precision of its estimate. Returns undefined if no kind has responses of both.
 */
export function compareLatencies(
  { stable, canary, isConcurrent, haveSessionsMoved }: {
    readonly stable: EvidenceByKind;
    readonly canary: EvidenceByKind;
    /** Whether both releases received requests at the same time. */
    readonly isConcurrent: boolean;
    /** Whether running sessions have moved to the canary. */
    readonly haveSessionsMoved: boolean;
  },
): LatencyComparison | undefined {
  const variance = varianceWithinKinds([...stable.values()]);
  let latencies = 0;
  let precision = 0;
  let weighted = 0;
  let hasModels = false;
  for (const [kind, counts] of canary) {
    const reference = stable.get(kind);
    if (reference === undefined || reference.latencies === 0) continue;
    if (counts.latencies === 0) continue;
    hasModels ||= counts.model !== undefined;
    const weight = 1 /
      (variance * (1 / counts.latencies + 1 / reference.latencies));
    latencies += counts.latencies;
    precision += weight;
    weighted += weight * (meanLog(counts) - meanLog(reference));
  }
  if (precision === 0) return undefined;
  const logSlowdown = weighted / precision;
  const { tolerated, slow } = hypothesesFor({
    hasModels,
    isConcurrent,
    haveSessionsMoved,
  });
  // Of two normal distributions with the same variance.
  const logRatio = (slow - tolerated) * precision *
    (logSlowdown - (tolerated + slow) / 2);
  return { latencies, logSlowdown, precision, logRatio };
}

function hypothesesFor(
  { hasModels, isConcurrent, haveSessionsMoved }: {
    hasModels: boolean;
    isConcurrent: boolean;
    haveSessionsMoved: boolean;
  },
): Hypotheses {
  if (!isConcurrent || (hasModels && haveSessionsMoved)) return SESSIONS_MOVED;
  return hasModels ? WITH_MODELS : PLAIN;
}

/** Combines the comparisons of several periods, each of which had a load of its own. */
export function combineComparisons(
  comparisons: readonly LatencyComparison[],
): LatencyComparison | undefined {
  const precision = sumOf(comparisons.map((one) => one.precision));
  if (precision === 0) return undefined;
  const weighted = comparisons.map((one) => one.precision * one.logSlowdown);
  return {
    latencies: sumOf(comparisons.map((one) => one.latencies)),
    logSlowdown: sumOf(weighted) / precision,
    precision,
    logRatio: sumOf(comparisons.map((one) => one.logRatio)),
  };
}

/** Mean of the logarithms of the times to first byte, in milliseconds. */
export function meanLog(
  { latencies, logMsSum }: Pick<LatencyCounts, "latencies" | "logMsSum">,
): number {
  return logMsSum / latencies;
}

function varianceWithinKinds(kinds: readonly LatencyCounts[]): number {
  let squares = PRIOR_LATENCIES * PRIOR_VARIANCE;
  let degrees = PRIOR_LATENCIES;
  for (const { latencies, logMsSum, logMsSquares } of kinds) {
    if (latencies < 2) continue;
    squares += Math.max(0, logMsSquares - logMsSum ** 2 / latencies);
    degrees += latencies - 1;
  }
  return squares / degrees;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
