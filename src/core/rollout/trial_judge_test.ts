import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ReleaseId, RouteId, ServiceId } from "../ids.ts";
import { EvidenceBook } from "./evidence.ts";
import { TrialJudge } from "./trial_judge.ts";

const SERVICE = "inspect" as ServiceId;
const OLD = "v1" as ReleaseId;
const NEW = "v2" as ReleaseId;

function fixture() {
  const evidenceBook = new EvidenceBook();
  const judge = new TrialJudge({ evidenceBook });
  const answer = (release: ReleaseId, count: number, failures = 0) => {
    for (let n = 0; n < count; n++) {
      evidenceBook.observe({
        service: SERVICE,
        release,
        route: "r-1" as RouteId,
        failed: n < failures,
        firstByteMs: 100,
      });
    }
  };
  const judgeAt = (share: number) =>
    judge.judge({ service: SERVICE, release: NEW, stableRelease: OLD, share });
  return { answer, judgeAt };
}

describe("judge of a trial", () => {
  it("should judge a step by the answers since the share grew", () => {
    const { answer, judgeAt } = fixture();
    answer(OLD, 200, 2);
    judgeAt(0.09);
    answer(NEW, 200);
    assert.equal(judgeAt(0.09).stepVerdict.tag, "sound");
    assert.equal(judgeAt(1).stepVerdict.tag, "unsure");
    answer(NEW, 12, 5);
    const judgement = judgeAt(1);
    assert.notEqual(judgement.verdict.tag, "bad");
    assert.equal(judgement.stepVerdict.tag, "bad");
  });

  it("should count the answers of both releases", () => {
    const { answer, judgeAt } = fixture();
    answer(OLD, 30);
    answer(NEW, 4);
    const { trialAnswers, allAnswers } = judgeAt(0.09);
    assert.deepEqual({ trialAnswers, allAnswers }, {
      trialAnswers: 4,
      allAnswers: 34,
    });
  });
});
