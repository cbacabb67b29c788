import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { TurnBudget } from "./turn_budget.ts";

const ALL_LINES = 8_192;

describe("TurnBudget", () => {
  it("should be used up within a turn and full again in the next one", async () => {
    const budget = new TurnBudget();
    assert.ok(budget.take(ALL_LINES));
    assert.equal(budget.take(1), false);
    await turn();
    assert.ok(budget.take(1));
  });

  // Guards against a crowd that has its work done in each turn before anybody else's.
  it("should run tasks in the order in which they were deferred, over several turns", async () => {
    const budget = new TurnBudget();
    const ran: string[] = [];
    const task = (name: string) => {
      const run = () => {
        ran.push(name);
        budget.take(ALL_LINES);
        if (ran.length < 7) budget.defer(run);
      };
      return run;
    };
    for (const name of ["a", "b", "c"]) budget.defer(task(name));
    while (ran.length < 7) await turn();
    assert.deepEqual(ran.slice(0, 7), ["a", "b", "c", "a", "b", "c", "a"]);
  });
});
