/** Sequential test of whether a canary fails more often than the stable release. */

/** Number of answers and how many of them failed. */
export interface FailureCounts {
  readonly answers: number;
  readonly failures: number;
}

/** Weight of the overall failure rate in the expected rate, in answers. */
const PRIOR_ANSWERS = 10;
/** Lower bound of the expected failure rate: single servers may fail at any time. */
const MIN_EXPECTED_RATE = 0.02;
/** Upper bound of the expected failure rate; above it, releases are indistinguishable. */
const MAX_EXPECTED_RATE = 0.5;
/** Minimum by which the failure rate of a bad release exceeds the expected rate. */
const MIN_EXCESS_RATE = 0.12;
const MAX_RATE = 0.95;

/**
 * Returns the log-likelihood ratio of the canary's answers between the hypothesis that it is bad
 * and the hypothesis that it fails like the stable release (Wald's sequential probability ratio
 * test). Unlike a ratio of the two failure rates, it needs no tolerance, which would hide a bad
 * canary while the stable release fails as well.
 */
export function logLikelihoodRatio(
  canary: FailureCounts,
  { stable, overall }: {
    /** Answers of the stable release on the same route and model. */
    readonly stable: FailureCounts;
    /** All answers of the stable release; compensates for few answers in `stable`. */
    readonly overall: FailureCounts;
  },
): number {
  const expected = expectedRate(stable, overall);
  const bad = Math.min(
    MAX_RATE,
    expected + Math.max(MIN_EXCESS_RATE, expected),
  );
  const successes = canary.answers - canary.failures;
  return canary.failures * Math.log(bad / expected) +
    successes * Math.log((1 - bad) / (1 - expected));
}

function expectedRate(stable: FailureCounts, overall: FailureCounts): number {
  const prior = overall.failures / Math.max(1, overall.answers);
  const rate = (stable.failures + PRIOR_ANSWERS * prior) /
    (stable.answers + PRIOR_ANSWERS);
  return Math.min(MAX_EXPECTED_RATE, Math.max(MIN_EXPECTED_RATE, rate));
}
