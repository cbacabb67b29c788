import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readEntry, spreadOf, summarize } from "../scripts/journal_summary.ts";

function day(name: string, worth: number, fault: string | null = null) {
  return {
    name,
    G: worth,
    parts: [["whole day", 1, worth + 0.1]],
    prices: [["machines", 100, 0.1], ["probes", 1, 0.001]],
    rules: {},
    fault,
    served: 0.9,
  };
}

describe("summary of the journal", () => {
  it("should print mean and deviation of the days with trouble", () => {
    const entries = [0.5, 0.7].map((worth) =>
      readEntry(JSON.stringify({
        site: "small",
        days: [day("trouble-1", worth), day("quiet-1", 0.9), day("x", 0.1)],
      }))
    );
    const text = summarize(entries).join("\n");
    assert.match(text, /days with trouble: 0\.600 ± 0\.141 \(2\)/);
    assert.match(text, /whole day 0\.700/);
    assert.match(text, /less: machines 0\.100$/);
  });

  it("should list the days that failed", () => {
    const days = [day("scale-1", 0.5, "too slow"), day("scale-1", 0.6)];
    const entry = readEntry(JSON.stringify({ site: "small", days }));
    assert.match(summarize([entry]).join("\n"), /scale-1: .*1 broke/);
  });

  it("should reject an invalid entry and name the invalid field", () => {
    assert.throws(() => readEntry('{"site": "small"}'), /days/);
  });

  it("should compute the spread of a single value", () => {
    assert.deepEqual(spreadOf([0.5]), { count: 1, mean: 0.5, deviation: 0 });
  });
});
