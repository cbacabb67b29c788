/** Evaluates canaries, in total and since the last increase of their share. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import {
  countAnswers,
  type EvidenceAggregator,
  type EvidenceByKind,
  evidenceSince,
} from "./evidence.ts";
import {
  type CanaryEvaluation,
  evaluateCanary,
  type ReleasePair,
} from "./canary_evaluation.ts";
import {
  combineComparisons,
  compareLatencies,
  type LatencyComparison,
} from "./latency_comparison.ts";

/** Current state of a canary. */
export interface CanaryState {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Undefined if no server of another release is left. */
  readonly stableRelease: ReleaseId | undefined;
  /** Share of sessions on the canary. */
  readonly share: number;
  /** Whether the share has grown since the start, so that running sessions have moved. */
  readonly hasGrown: boolean;
}

/** Result of the analysis of a canary. */
export interface CanaryAnalysis {
  readonly evaluation: CanaryEvaluation;
  /** From the answers since the share last grew: a release may be bad only at full load. */
  readonly stepEvaluation: CanaryEvaluation;
  /** Latencies since the start of the roll-out; undefined if there is nothing to compare. */
  readonly latency: LatencyComparison | undefined;
  readonly canaryAnswers: number;
  readonly totalAnswers: number;
}

interface Step {
  readonly release: ReleaseId;
  readonly share: number;
  /** Evidence at the start of the step. */
  readonly baseline: ReleasePair;
  /** Latencies of the steps before. */
  readonly earlier: readonly LatencyComparison[];
  /** Latencies of this step, as last compared. */
  latency: LatencyComparison | undefined;
}

const NO_EVIDENCE: EvidenceByKind = new Map();

/** Analyzes the canaries of all services. */
export class CanaryAnalyzer {
  readonly #evidenceAggregator: EvidenceAggregator;
  readonly #steps = new Map<ServiceId, Step>();

  constructor(
    { evidenceAggregator }: { evidenceAggregator: EvidenceAggregator },
  ) {
    this.#evidenceAggregator = evidenceAggregator;
  }

  /** Evaluates a canary by the evidence available now. */
  analyze(state: CanaryState): CanaryAnalysis {
    const { service, release, stableRelease } = state;
    const canary = this.#evidenceAggregator.total(service, release);
    const stable = stableRelease === undefined
      ? NO_EVIDENCE
      : this.#evidenceAggregator.total(service, stableRelease);
    const step = this.#stepOf(state, { stable, canary });
    const sinceStep = {
      stable: evidenceSince(step.baseline.stable, stable),
      canary: evidenceSince(step.baseline.canary, canary),
    };
    const isConcurrent = state.share < 1;
    step.latency = compareLatencies({
      stable: isConcurrent ? sinceStep.stable : stable,
      canary: sinceStep.canary,
      isConcurrent,
      haveSessionsMoved: state.hasGrown,
    });
    // Each step is compared by itself, as the load may change from one to the next.
    const latency = combineComparisons(comparisonsOf(step));
    const concurrent = isConcurrent ? sinceStep : undefined;
    const canaryAnswers = countAnswers(canary);
    return {
      evaluation: evaluateCanary({ stable, canary, concurrent, latency }),
      stepEvaluation: evaluateCanary({
        stable,
        canary: sinceStep.canary,
        concurrent,
        // For a moment after sessions have moved, their prompts are cached nowhere on the canary.
        latency: isConcurrent ? undefined : step.latency,
      }),
      latency,
      canaryAnswers,
      totalAnswers: canaryAnswers + countAnswers(stable),
    };
  }

  #stepOf({ service, release, share }: CanaryState, now: ReleasePair): Step {
    const known = this.#steps.get(service);
    const isSameRollOut = known?.release === release;
    if (isSameRollOut && known.share === share) return known;
    const step = {
      release,
      share,
      baseline: now,
      earlier: isSameRollOut ? comparisonsOf(known) : [],
      latency: undefined,
    };
    this.#steps.set(service, step);
    return step;
  }
}

function comparisonsOf({ earlier, latency }: Step): LatencyComparison[] {
  return latency === undefined ? [...earlier] : [...earlier, latency];
}
