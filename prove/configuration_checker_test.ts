import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  checkConfigurationHistory,
  IN_FORCE_WITHIN_MS,
} from "./configuration_checker.ts";
import {
  ConfigurationHistory,
  type HistoryEvent,
} from "./configuration_history.ts";

const DUE = IN_FORCE_WITHIN_MS;

function violationsOf(...events: HistoryEvent[]): string[] {
  const history = new ConfigurationHistory();
  history.record(applied(0, { revision: 1, invokedMs: 0, atMs: 0 }));
  history.record(applied(1, { revision: 2, invokedMs: 990, atMs: 1_000 }));
  for (const event of events) history.record(event);
  return checkConfigurationHistory(history);
}

function applied(
  content: number,
  event: { revision: number; invokedMs: number; atMs: number },
): HistoryEvent {
  return { kind: "applied", content, ...event };
}

function answered(
  revision: number,
  version: string,
  atMs: number,
): HistoryEvent {
  return {
    kind: "answered",
    entry: "e",
    invokedMs: atMs,
    returnedMs: atMs + 10,
    revision,
    version,
  };
}

describe("the checker of configuration histories", () => {
  test("should accept what is promised", () => {
    assert.deepEqual(
      violationsOf(
        answered(1, "v1", 900 + DUE),
        answered(2, "v2", 1_000 + DUE),
        {
          kind: "guarded",
          entry: "e",
          invokedMs: 2_000 + DUE,
          returnedMs: 2_001 + DUE,
          allowed: false,
        },
        { kind: "work", version: "v2", atMs: 2_000 + DUE },
      ),
      [],
    );
  });

  // Seen with seed 6: all entries answered by revision 65 for 24 s before its outcome was known,
  // 33 s after the first answer, as an outage began between the write and its reports.
  test("should accept what an apply allows whose outcome an outage keeps unknown", () => {
    const outcomeMs = 3_000 + 4 * DUE;
    assert.deepEqual(
      violationsOf(
        applied(2, { revision: 3, invokedMs: 2_000, atMs: outcomeMs }),
        answered(3, "v1", 2_000 + DUE),
        {
          kind: "guarded",
          entry: "e",
          invokedMs: 2_000 + DUE,
          returnedMs: 2_001 + DUE,
          allowed: true,
        },
        { kind: "work", version: "v1", atMs: 2_000 + DUE },
      ),
      [],
    );
  });

  const broken: [string, HistoryEvent[], RegExp][] = [
    ["an answer by a revision that should be gone", [
      answered(1, "v1", 1_000 + DUE),
    ], /had to be in force/],
    [
      "an answer by parts of two revisions",
      [answered(2, "v1", 2_000)],
      /but by version v1/,
    ],
    [
      "an answer by what nobody applied",
      [answered(7, "v1", 2_000)],
      /nobody applied/,
    ],
    ["an entry that goes back", [
      answered(2, "v2", 2_000),
      answered(1, "v1", 2_011),
    ], /went back/],
    [
      "a model that is not allowed any more",
      [{
        kind: "guarded",
        entry: "e",
        invokedMs: 2_000 + DUE,
        returnedMs: 2_001 + DUE,
        allowed: true,
      }],
      /may not use any more/,
    ],
    ["work for a withdrawn version", [{
      kind: "work",
      version: "v1",
      atMs: 2_000 + DUE,
    }], /withdrawn/],
    ["a revision accepted twice", [
      applied(2, { revision: 2, invokedMs: 2_990, atMs: 3_000 }),
    ], /accepted twice/],
    ["a model that is allowed only by what no operator has sent yet", [
      applied(2, { revision: 3, invokedMs: 6_000 + DUE, atMs: 6_010 + DUE }),
      {
        kind: "guarded",
        entry: "e",
        invokedMs: 2_000 + DUE,
        returnedMs: 2_001 + DUE,
        allowed: true,
      },
    ], /may not use any more/],
  ];
  for (const [what, events, expected] of broken) {
    test(`should find ${what}`, () =>
      assert.match(violationsOf(...events).join("\n"), expected));
  }
});
