/** Evaluates canaries, in total and since the last increase of their share. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import {
  countAnswers,
  type EvidenceAggregator,
  type EvidenceByKind,
  evidenceSince,
} from "./evidence.ts";
import { type CanaryEvaluation, evaluateCanary } from "./canary_evaluation.ts";

/** Current state of a canary. */
export interface CanaryState {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Undefined if no server of another release is left. */
  readonly stableRelease: ReleaseId | undefined;
  /** Share of sessions on the canary. */
  readonly share: number;
}

/** Result of the analysis of a canary. */
export interface CanaryAnalysis {
  readonly evaluation: CanaryEvaluation;
  /** From the answers since the share last grew: a release may be bad only at full load. */
  readonly stepEvaluation: CanaryEvaluation;
  readonly canaryAnswers: number;
  readonly totalAnswers: number;
}

interface Step {
  readonly release: ReleaseId;
  readonly share: number;
  readonly baseline: EvidenceByKind;
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
    const sinceStep = evidenceSince(
      this.#stepOf(state, canary).baseline,
      canary,
    );
    const canaryAnswers = countAnswers(canary);
    return {
      evaluation: evaluateCanary({ stable, canary }),
      stepEvaluation: evaluateCanary({ stable, canary: sinceStep }),
      canaryAnswers,
      totalAnswers: canaryAnswers + countAnswers(stable),
    };
  }

  #stepOf(
    { service, release, share }: CanaryState,
    canary: EvidenceByKind,
  ): Step {
    const known = this.#steps.get(service);
    if (known?.release === release && known.share === share) return known;
    const step = { release, share, baseline: canary };
    this.#steps.set(service, step);
    return step;
  }
}
