import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import { type PlanInput, planStep } from "./trial_plan.ts";
import type { Verdict } from "./trial_verdict.ts";

const SOUND: Verdict = { tag: "sound", answers: 60 };
const UNSURE: Verdict = { tag: "unsure", answers: 3 };
const BAD: Verdict = {
  tag: "bad",
  kind: undefined,
  reason: "failures",
  answers: 8,
  failures: 4,
};
const LIMIT_MS = 24_000;
const INPUT: PlanInput = {
  share: 0.09,
  elapsedMs: 0.5 * LIMIT_MS,
  limitMs: LIMIT_MS,
  verdict: SOUND,
  stepVerdict: SOUND,
  exposure: { trialAnswers: 40, allAnswers: 1_000, share: 0.15, allowance: 30 },
  hasServers: true,
  oldWorkMs: 0,
};

function at(part: number, patch: Partial<PlanInput> = {}): PlanInput {
  return { ...INPUT, elapsedMs: part * LIMIT_MS, ...patch };
}

describe("plan of a trial", () => {
  it("should begin with well under the share that a bad release may get", () => {
    const step = planStep(at(0.125, { share: 0 }));
    assert.ok(step.tag === "share" && step.share <= 0.1);
  });

  it("should not grow while all requests left are more than a bad release may get", () => {
    assert.equal(planStep(at(0.5)).tag, "stay");
    assert.equal(planStep(at(0.8)).tag, "stay");
    assert.equal(planStep(at(0.95)).tag, "share");
  });

  it("should not move all without enough answers, however late it is", () => {
    for (const part of [0.6, 0.95, 1.5]) {
      const step = planStep(at(part, { verdict: UNSURE }));
      assert.ok(
        step.tag === "stay" || (step.tag === "share" && step.share < 0.5),
      );
    }
  });

  it("should double a trial from which too few answers come, step by step", () => {
    const few = {
      verdict: UNSURE,
      exposure: { ...INPUT.exposure, trialAnswers: 3 },
    };
    const first = planStep(at(0.125, { share: 0 }));
    assert.ok(first.tag === "share");
    const { share } = first;
    assert.equal(planStep(at(0.45, { ...few, share })).tag, "stay");
    assert.deepEqual(planStep(at(0.51, { ...few, share })), {
      tag: "share",
      share: 2 * share,
    });
    assert.equal(planStep(at(0.55, { ...few, share: 2 * share })).tag, "stay");
    const many = { ...few, exposure: { ...few.exposure, trialAnswers: 90 } };
    assert.equal(planStep(at(0.61, { ...many, share })).tag, "stay");
  });

  it("should complete only once nothing runs on the old release", () => {
    assert.equal(planStep(at(0.92, { share: 1 })).tag, "complete");
    assert.equal(planStep(at(0.92, { share: 1, oldWorkMs: 5 })).tag, "stay");
    assert.equal(
      planStep(at(0.97, { share: 1, oldWorkMs: 5 })).tag,
      "complete",
    );
  });

  it("should not complete by the clock without answers since the share grew", () => {
    const moved = { share: 1, stepVerdict: UNSURE };
    assert.equal(planStep(at(0.97, moved)).tag, "stay");
    assert.equal(planStep(at(1.2, moved)).tag, "stay");
  });

  it("should roll back a bad release at any time", () => {
    const all = at(0.9, { share: 1, verdict: BAD });
    const step = at(0.9, { share: 1, stepVerdict: BAD });
    assert.equal(planStep(all).tag, "roll_back");
    assert.equal(planStep(step).tag, "roll_back");
  });

  it("should keep a release within its bound that is bad only under a load that never came", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 8_000, max: 60_000 }),
        fc.integer({ min: 5, max: 400 }),
        fc.double({ min: 0.05, max: 0.3, noNaN: true }),
        fc.integer({ min: 0, max: 60 }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (limitMs, perSecond, share, allowance, pinned) => {
          const played = play({ limitMs, perSecond, share, allowance, pinned });
          assert.ok(played.trial <= share * played.all + allowance);
        },
      ),
      { seed: 20, numRuns: 300 },
    );
  });

  it("should complete a sound release in time where its bound leaves room for it", () => {
    const terms = { share: 0.15, allowance: 30, pinned: 0.3 };
    for (const perSecond of [20, 100]) {
      const played = play({ ...terms, limitMs: LIMIT_MS, perSecond });
      assert.ok(played.completed);
    }
  });
});

/** Plays a trial whose answers are all sound, in ticks, to the end of its time. */
function play(
  { limitMs, perSecond, share: bound, allowance, pinned }: {
    limitMs: number;
    perSecond: number;
    share: number;
    allowance: number;
    /** Part of the sessions on trial that keep the old release at first. */
    pinned: number;
  },
): { trial: number; all: number; completed: boolean } {
  const tickMs = 200;
  let share = 0;
  let trial = 0;
  let all = 0;
  let sinceStep = 0;
  for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += tickMs) {
    const answers = perSecond * tickMs / 1_000;
    const early = elapsedMs < limitMs / 2 && share < 1;
    const trialAnswers = answers * share * (early ? 1 - pinned : 1);
    all += answers;
    trial += trialAnswers;
    sinceStep += trialAnswers;
    const step = planStep({
      ...INPUT,
      share,
      elapsedMs: elapsedMs + tickMs,
      limitMs,
      verdict: trial >= 12 ? SOUND : UNSURE,
      stepVerdict: sinceStep >= 12 ? SOUND : UNSURE,
      exposure: {
        trialAnswers: trial,
        allAnswers: all,
        share: bound,
        allowance,
      },
    });
    if (step.tag === "complete") {
      const left = perSecond * (limitMs - elapsedMs - tickMs) / 1_000;
      return { trial: trial + left, all: all + left, completed: true };
    }
    if (step.tag === "share") {
      share = step.share;
      sinceStep = 0;
    }
  }
  return { trial, all, completed: false };
}
