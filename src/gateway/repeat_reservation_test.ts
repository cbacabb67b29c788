import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServiceId } from "../core/ids.ts";
import { RepeatBudget } from "../core/limits/repeat_budget.ts";
import { RepeatReservation } from "./repeat_reservation.ts";

const SERVICE = "tracker" as ServiceId;

let repeatBudget: RepeatBudget;

function reservation(): RepeatReservation {
  const clock = { monotonicMs: () => 1_000, wallMs: () => 1_000 };
  return new RepeatReservation({ repeatBudget, clock }, SERVICE);
}

beforeEach(() => {
  // Room for one repeat: a part of the allowance is kept back.
  repeatBudget = new RepeatBudget({
    ratio: 0,
    windowMs: 10_000,
    allowance: 1.2,
  });
});

describe("repeat reservation", () => {
  it("should take what was reserved, and pay for it once", () => {
    const repeats = reservation();
    assert.equal(repeats.reserve(), true);
    assert.equal(repeats.reserve(), true);
    assert.equal(repeats.take(), true);
    assert.equal(repeats.take(), false);
  });

  it("should leave others nothing of what it has reserved", () => {
    const repeats = reservation();
    repeats.reserve();
    assert.equal(reservation().reserve(), false);
    assert.equal(reservation().take(), false);
    assert.equal(repeats.take(), true);
  });

  it("should use what was given back for the next try", () => {
    const repeats = reservation();
    assert.equal(repeats.take(), true);
    repeats.giveBack();
    assert.equal(repeats.take(), true);
    assert.equal(repeats.take(), false);
  });
});
