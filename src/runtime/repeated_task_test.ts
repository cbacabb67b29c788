import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pause } from "./pause.ts";
import { RepeatedTask } from "./repeated_task.ts";

/** Lets all that is ready run, and some rounds of a task without a pause. */
const A_MOMENT_MS = 20;

describe("repeated task", () => {
  it("should run once at a time after it was stopped and started during a run", async () => {
    let running = 0;
    let most = 0;
    const task = new RepeatedTask({
      intervalMs: 0,
      run: async () => {
        running += 1;
        most = Math.max(most, running);
        await pause(1);
        running -= 1;
      },
    });
    task.start();
    await pause(A_MOMENT_MS);
    task.stop();
    await pause(A_MOMENT_MS);
    task.start();
    await pause(A_MOMENT_MS);
    task.stop();
    assert.equal(most, 1);
  });

  it("should not go on by a loop that was stopped and started again", async () => {
    let runs = 0;
    let release: () => void = () => {};
    const task = new RepeatedTask({
      intervalMs: 1_000_000,
      run: () => {
        runs += 1;
        return new Promise((resolve) => release = resolve);
      },
    });
    task.start();
    const first = release;
    task.stop();
    task.start();
    first();
    release();
    await pause(A_MOMENT_MS);
    assert.equal(runs, 2);
    task.stop();
  });
});
