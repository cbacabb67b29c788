/** Weighs whether a release fails more often than the one that it should replace. */

/** Answers and how many of them failed. */
export interface FailureCounts {
  readonly answers: number;
  readonly failures: number;
}

/** Answers that count towards the rate that is expected, besides those that were seen. */
const PRIOR_ANSWERS = 10;
/** Least rate of failures that is taken as usual: single servers break at any time. */
const MIN_USUAL_RATE = 0.02;
/** Highest rate that is taken as usual; above it nothing more can be told apart. */
const MAX_USUAL_RATE = 0.5;
/** A bad release is taken to fail this much more often, at least. */
const MIN_EXCESS = 0.12;
const MAX_RATE = 0.95;

/**
 * Returns the logarithm of how much likelier the answers of a release on trial are if it
 * is bad than if it does as the stable one (Wald's sequential test). Unlike a ratio of the
 * two rates, it needs no slack that hides a bad release while the stable one fails too.
 */
export function logFailureRatio(
  trial: FailureCounts,
  { stable, overall }: {
    /** Answers of the same kind by the stable release. */
    readonly stable: FailureCounts;
    /** All answers of the stable release; stands in where those of the kind are few. */
    readonly overall: FailureCounts;
  },
): number {
  const usual = usualRate(stable, overall);
  const bad = Math.min(MAX_RATE, usual + Math.max(MIN_EXCESS, usual));
  const sound = trial.answers - trial.failures;
  return trial.failures * Math.log(bad / usual) +
    sound * Math.log((1 - bad) / (1 - usual));
}

function usualRate(stable: FailureCounts, overall: FailureCounts): number {
  const prior = overall.failures / Math.max(1, overall.answers);
  const rate = (stable.failures + PRIOR_ANSWERS * prior) /
    (stable.answers + PRIOR_ANSWERS);
  return Math.min(MAX_USUAL_RATE, Math.max(MIN_USUAL_RATE, rate));
}
