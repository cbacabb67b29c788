/** Keeps, for each trial, what was known when its share last grew, and judges by it. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import {
  countAnswers,
  type EvidenceBook,
  type EvidenceByKind,
  evidenceSince,
} from "./evidence.ts";
import { judgeTrial, type Verdict } from "./trial_verdict.ts";

/** A trial as it stands. */
export interface JudgedTrial {
  readonly service: ServiceId;
  readonly release: ReleaseId;
  /** Undefined where no server of another release is left. */
  readonly stableRelease: ReleaseId | undefined;
  /** Share of sessions on trial. */
  readonly share: number;
}

/** What the evidence says. */
export interface Judgement {
  readonly verdict: Verdict;
  /** By the answers since the share last grew: a release may be bad at full load only. */
  readonly stepVerdict: Verdict;
  readonly trialAnswers: number;
  readonly allAnswers: number;
}

interface Step {
  readonly release: ReleaseId;
  readonly share: number;
  readonly before: EvidenceByKind;
}

const NO_EVIDENCE: EvidenceByKind = new Map();

/** Judges the trials of all services. */
export class TrialJudge {
  readonly #book: EvidenceBook;
  readonly #steps = new Map<ServiceId, Step>();

  constructor({ evidenceBook }: { evidenceBook: EvidenceBook }) {
    this.#book = evidenceBook;
  }

  /** Judges a trial by what is known now. */
  judge(judged: JudgedTrial): Judgement {
    const { service, release, stableRelease } = judged;
    const trial = this.#book.total(service, release);
    const stable = stableRelease === undefined
      ? NO_EVIDENCE
      : this.#book.total(service, stableRelease);
    const sinceStep = evidenceSince(this.#stepOf(judged, trial).before, trial);
    const trialAnswers = countAnswers(trial);
    return {
      verdict: judgeTrial({ stable, trial }),
      stepVerdict: judgeTrial({ stable, trial: sinceStep }),
      trialAnswers,
      allAnswers: trialAnswers + countAnswers(stable),
    };
  }

  #stepOf(
    { service, release, share }: JudgedTrial,
    trial: EvidenceByKind,
  ): Step {
    const known = this.#steps.get(service);
    if (known?.release === release && known.share === share) return known;
    const step = { release, share, before: trial };
    this.#steps.set(service, step);
    return step;
  }
}
