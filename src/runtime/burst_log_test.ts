import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BurstLog } from "./burst_log.ts";

function linesFor(items: readonly string[]): string[] {
  const lines: string[] = [];
  const log = new BurstLog<string>({
    logOne: (item) => lines.push(item),
    logMany: (all) => lines.push(all.join("+")),
  });
  for (const item of items) log.add([item]);
  log.flush();
  log.flush();
  return lines;
}

describe("burst log", () => {
  it("should log few events individually", () => {
    assert.deepEqual(linesFor(["a", "b"]), ["a", "b"]);
  });

  it("should combine many events into one line and log none twice", () => {
    assert.deepEqual(linesFor(["a", "b", "c", "d"]), ["a+b+c+d"]);
  });

  it("should log by itself shortly after events were added", async () => {
    const line = await new Promise((resolve) => {
      const log = new BurstLog<string>({ logOne: resolve, logMany: resolve });
      log.add(["a"]);
      // The timer of the log is unreferenced, so this one keeps the process running.
      const timer = setInterval(() => {}, 1_000);
      setTimeout(() => clearInterval(timer), 2_000);
    });
    assert.equal(line, "a");
  });
});
