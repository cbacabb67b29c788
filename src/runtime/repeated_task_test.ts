import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pause } from "./pause.ts";
import { RepeatedTask } from "./repeated_task.ts";

/** Long enough for pending callbacks and for several runs of a task with interval 0. */
const SETTLE_MS = 20;

describe("repeated task", () => {
  it("should not run concurrently after a stop and start during a run", async () => {
    let running = 0;
    let maxRunning = 0;
    const task = new RepeatedTask({
      intervalMs: 0,
      run: async () => {
        running += 1;
        maxRunning = Math.max(maxRunning, running);
        await pause(1);
        running -= 1;
      },
    });
    task.start();
    await pause(SETTLE_MS);
    task.stop();
    await pause(SETTLE_MS);
    task.start();
    await pause(SETTLE_MS);
    task.stop();
    assert.equal(maxRunning, 1);
  });

  it("should not continue the old loop after a stop and start", async () => {
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
    const releaseFirst = release;
    task.stop();
    task.start();
    releaseFirst();
    release();
    await pause(SETTLE_MS);
    assert.equal(runs, 2);
    task.stop();
  });
});
