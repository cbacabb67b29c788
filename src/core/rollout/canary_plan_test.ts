import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { type CanaryPlanInput, nextCanaryStep } from "./canary_plan.ts";
import type { CanaryEvaluation } from "./canary_evaluation.ts";

const SOUND: CanaryEvaluation = { tag: "sound", answers: 60 };
const UNSURE: CanaryEvaluation = { tag: "unsure", answers: 3 };
const BAD: CanaryEvaluation = {
  tag: "bad",
  kind: undefined,
  reason: "failures",
  answers: 8,
  failures: 4,
};
const LIMIT_MS = 24_000;
const INPUT: CanaryPlanInput = {
  share: 0.09,
  elapsedMs: 0.5 * LIMIT_MS,
  limitMs: LIMIT_MS,
  evaluation: SOUND,
  stepEvaluation: SOUND,
  exposure: {
    canaryAnswers: 40,
    totalAnswers: 1_000,
    share: 0.15,
    allowance: 30,
  },
  hasServers: true,
  previousReleaseWorkMs: 0,
};

function atFraction(
  fraction: number,
  patch: Partial<CanaryPlanInput> = {},
): CanaryPlanInput {
  return { ...INPUT, elapsedMs: fraction * LIMIT_MS, ...patch };
}

describe("canary plan", () => {
  it("should begin well below the share that a bad release may receive", () => {
    const step = nextCanaryStep(atFraction(0.125, { share: 0 }));
    assert.ok(step.tag === "share" && step.share <= 0.1);
  });

  it("should not grow while the remaining requests exceed what a bad release may receive", () => {
    assert.equal(nextCanaryStep(atFraction(0.5)).tag, "stay");
    const { canaryAnswers, totalAnswers, share, allowance } = INPUT.exposure;
    for (const fraction of [0.55, 0.6, 0.7, 0.8, 0.85]) {
      const step = nextCanaryStep(atFraction(fraction));
      if (step.tag === "stay") continue;
      assert.ok(step.tag === "share" && step.share < 1);
      const expected = totalAnswers / fraction;
      const exposed = canaryAnswers + step.share * (1 - fraction) * expected;
      assert.ok(exposed <= share * expected + allowance, `${fraction}`);
    }
    assert.deepEqual(nextCanaryStep(atFraction(0.95)), {
      tag: "share",
      share: 1,
    });
  });

  it("should double the share of a sound canary as well, since its servers are idle at a small one", () => {
    const share = 0.0675;
    const early = atFraction(0.5, { share });
    const step = nextCanaryStep({
      ...early,
      exposure: { ...early.exposure, canaryAnswers: 30 },
    });
    assert.deepEqual(step, { tag: "share", share: 2 * share });
  });

  it("should not move all sessions without enough answers, however late it is", () => {
    for (const fraction of [0.6, 0.95, 1.5]) {
      const step = nextCanaryStep(atFraction(fraction, { evaluation: UNSURE }));
      assert.ok(
        step.tag === "stay" || (step.tag === "share" && step.share < 0.5),
      );
    }
  });

  it("should double the share of a canary with too few answers, step by step", () => {
    const few = {
      evaluation: UNSURE,
      exposure: { ...INPUT.exposure, canaryAnswers: 3 },
    };
    const first = nextCanaryStep(atFraction(0.125, { share: 0 }));
    assert.ok(first.tag === "share");
    const { share } = first;
    assert.equal(
      nextCanaryStep(atFraction(0.45, { ...few, share })).tag,
      "stay",
    );
    assert.deepEqual(nextCanaryStep(atFraction(0.51, { ...few, share })), {
      tag: "share",
      share: 2 * share,
    });
    assert.equal(
      nextCanaryStep(atFraction(0.55, { ...few, share: 2 * share })).tag,
      "stay",
    );
    const many = { ...few, exposure: { ...few.exposure, canaryAnswers: 90 } };
    assert.equal(
      nextCanaryStep(atFraction(0.61, { ...many, share })).tag,
      "stay",
    );
  });

  it("should complete only once the old release is idle, or late in the roll-out", () => {
    assert.equal(
      nextCanaryStep(atFraction(0.92, { share: 1 })).tag,
      "complete",
    );
    assert.equal(
      nextCanaryStep(atFraction(0.92, { share: 1, previousReleaseWorkMs: 5 }))
        .tag,
      "stay",
    );
    assert.equal(
      nextCanaryStep(atFraction(0.97, { share: 1, previousReleaseWorkMs: 5 }))
        .tag,
      "complete",
    );
  });

  it("should not complete without answers since the share grew, however late it is", () => {
    const moved = { share: 1, stepEvaluation: UNSURE };
    assert.equal(nextCanaryStep(atFraction(0.97, moved)).tag, "stay");
    assert.equal(nextCanaryStep(atFraction(1.2, moved)).tag, "stay");
  });

  it("should roll back a bad release at any time", () => {
    const bad = atFraction(0.9, { share: 1, evaluation: BAD });
    const stepBad = atFraction(0.9, { share: 1, stepEvaluation: BAD });
    assert.equal(nextCanaryStep(bad).tag, "roll_back");
    assert.equal(nextCanaryStep(stepBad).tag, "roll_back");
  });

  it("should keep a release within its exposure limit if it is bad only under a load that did not occur", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 8_000, max: 60_000 }),
        fc.integer({ min: 5, max: 400 }),
        fc.double({ min: 0.05, max: 0.3, noNaN: true }),
        fc.integer({ min: 0, max: 60 }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (limitMs, perSecond, share, allowance, pinned) => {
          const result = simulate({
            limitMs,
            perSecond,
            share,
            allowance,
            pinned,
          });
          assert.ok(result.canary <= share * result.all + allowance);
        },
      ),
      { seed: 20, numRuns: 300 },
    );
  });

  it("should complete a sound release in time if its exposure limit allows it", () => {
    const bounds = { share: 0.15, allowance: 30, pinned: 0.3 };
    for (const perSecond of [20, 100]) {
      const result = simulate({ ...bounds, limitMs: LIMIT_MS, perSecond });
      assert.ok(result.completed);
    }
  });
});

/** Simulates a canary whose answers all succeed, tick by tick, until the time limit. */
function simulate(
  { limitMs, perSecond, share: maxShare, allowance, pinned }: {
    limitMs: number;
    perSecond: number;
    share: number;
    allowance: number;
    /** Fraction of the canary sessions that stay on the old release at first. */
    pinned: number;
  },
): { canary: number; all: number; completed: boolean } {
  const tickMs = 200;
  let share = 0;
  let canary = 0;
  let all = 0;
  let sinceStep = 0;
  for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += tickMs) {
    const answers = perSecond * tickMs / 1_000;
    const isPinned = elapsedMs < limitMs / 2 && share < 1;
    const canaryAnswers = answers * share * (isPinned ? 1 - pinned : 1);
    all += answers;
    canary += canaryAnswers;
    sinceStep += canaryAnswers;
    const step = nextCanaryStep({
      ...INPUT,
      share,
      elapsedMs: elapsedMs + tickMs,
      limitMs,
      evaluation: canary >= 12 ? SOUND : UNSURE,
      stepEvaluation: sinceStep >= 12 ? SOUND : UNSURE,
      exposure: {
        canaryAnswers: canary,
        totalAnswers: all,
        share: maxShare,
        allowance,
      },
    });
    if (step.tag === "complete") {
      const left = perSecond * (limitMs - elapsedMs - tickMs) / 1_000;
      return { canary: canary + left, all: all + left, completed: true };
    }
    if (step.tag === "share") {
      share = step.share;
      sinceStep = 0;
    }
  }
  return { canary, all, completed: false };
}
