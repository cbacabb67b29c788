import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BurstLog } from "./burst_log.ts";

function logOf(items: readonly string[]): string[] {
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
  it("should give few pieces of news a line each", () => {
    assert.deepEqual(logOf(["a", "b"]), ["a", "b"]);
  });

  it("should fold many into one line, and log nothing twice", () => {
    assert.deepEqual(logOf(["a", "b", "c", "d"]), ["a+b+c+d"]);
  });

  it("should log by itself a moment after the news came", async () => {
    const line = await new Promise((resolve) => {
      const log = new BurstLog<string>({ logOne: resolve, logMany: resolve });
      log.add(["a"]);
      // Its timer keeps no process alive, so this one does.
      const timer = setInterval(() => {}, 1_000);
      setTimeout(() => clearInterval(timer), 2_000);
    });
    assert.equal(line, "a");
  });
});
