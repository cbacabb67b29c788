import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  checkConfigurationHistory,
  MAX_PROPAGATION_MS,
} from "./configuration_checker.ts";
import {
  ConfigurationHistory,
  type HistoryEvent,
} from "./configuration_history.ts";

const PROPAGATION_MS = MAX_PROPAGATION_MS;

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

describe("configuration history checker", () => {
  test("should accept a history that meets all guarantees", () => {
    assert.deepEqual(
      violationsOf(
        answered(1, "v1", 900 + PROPAGATION_MS),
        answered(2, "v2", 1_000 + PROPAGATION_MS),
        {
          kind: "guarded",
          entry: "e",
          invokedMs: 2_000 + PROPAGATION_MS,
          returnedMs: 2_001 + PROPAGATION_MS,
          allowed: false,
        },
        { kind: "work", version: "v2", atMs: 2_000 + PROPAGATION_MS },
      ),
      [],
    );
  });

  // An outage can begin between the write of a revision and the reports that confirm it. With
  // seed 6, all entries responded according to revision 65 for 24 s before its outcome was known,
  // 33 s after the first response.
  test("should accept the effects of an apply whose outcome is unknown during an outage", () => {
    const outcomeMs = 3_000 + 4 * PROPAGATION_MS;
    assert.deepEqual(
      violationsOf(
        applied(2, { revision: 3, invokedMs: 2_000, atMs: outcomeMs }),
        answered(3, "v1", 2_000 + PROPAGATION_MS),
        {
          kind: "guarded",
          entry: "e",
          invokedMs: 2_000 + PROPAGATION_MS,
          returnedMs: 2_001 + PROPAGATION_MS,
          allowed: true,
        },
        { kind: "work", version: "v1", atMs: 2_000 + PROPAGATION_MS },
      ),
      [],
    );
  });

  const violatingHistories: [string, HistoryEvent[], RegExp][] = [
    ["a response according to a revision that must have been replaced", [
      answered(1, "v1", 1_000 + PROPAGATION_MS),
    ], /must have been in effect/],
    [
      "a response that mixes two revisions",
      [answered(2, "v1", 2_000)],
      /but with version v1/,
    ],
    [
      "a response according to a revision that was never applied",
      [answered(7, "v1", 2_000)],
      /which was never applied/,
    ],
    ["an entry that reverts to an earlier revision", [
      answered(2, "v2", 2_000),
      answered(1, "v1", 2_011),
    ], /reverted from revision/],
    [
      "a served model that is no longer allowed",
      [{
        kind: "guarded",
        entry: "e",
        invokedMs: 2_000 + PROPAGATION_MS,
        returnedMs: 2_001 + PROPAGATION_MS,
        allowed: true,
      }],
      /no longer allowed to use/,
    ],
    ["work for a withdrawn version", [{
      kind: "work",
      version: "v1",
      atMs: 2_000 + PROPAGATION_MS,
    }], /withdrawn/],
    ["a revision accepted twice", [
      applied(2, { revision: 2, invokedMs: 2_990, atMs: 3_000 }),
    ], /accepted twice/],
    ["a served model that only a later apply allows", [
      applied(2, {
        revision: 3,
        invokedMs: 6_000 + PROPAGATION_MS,
        atMs: 6_010 + PROPAGATION_MS,
      }),
      {
        kind: "guarded",
        entry: "e",
        invokedMs: 2_000 + PROPAGATION_MS,
        returnedMs: 2_001 + PROPAGATION_MS,
        allowed: true,
      },
    ], /no longer allowed to use/],
  ];
  for (const [violation, events, expected] of violatingHistories) {
    test(`should report ${violation}`, () =>
      assert.match(violationsOf(...events).join("\n"), expected));
  }
});
