/** How long it took until accepted configurations were in force. */

import { contentOf } from "./configuration_checker.ts";
import type { ConfigurationHistory } from "./configuration_history.ts";

/** Returns percentiles over all pairs of a revision and an entry. */
export function inForceFigures(
  history: ConfigurationHistory,
): Record<string, string> {
  const answers = history.of("answered").sort((a, b) =>
    a.returnedMs - b.returnedMs
  );
  const entries = [...new Set(answers.map(({ entry }) => entry))];
  const times = history.of("applied").flatMap(({ revision, atMs }) =>
    entries.flatMap((entry) => {
      const first = answers.find((answer) =>
        answer.entry === entry && answer.revision >= revision
      );
      return first === undefined ? [] : [Math.max(0, first.returnedMs - atMs)];
    })
  ).sort((a, b) => a - b);
  const at = (share: number) =>
    `${times[Math.floor((times.length - 1) * share)]} ms`;
  const applyTimes = history.of("applied")
    .map(({ invokedMs, atMs }) => atMs - invokedMs).sort((a, b) => a - b);
  return {
    revisions: String(history.of("applied").length),
    "apply accepted after p50": `${
      applyTimes[Math.floor(applyTimes.length / 2)]
    } ms`,
    "first answer by it p50": at(0.5),
    "first answer by it p99, refusing entries included": at(0.99),
    "first answer by it worst, refusing entries included": at(1),
    "last new work on a withdrawn version after": `${
      lastWithdrawnWorkMs(history)
    } ms`,
  };
}

/** Longest time from the acceptance that withdraws a version to its last new work. */
function lastWithdrawnWorkMs(history: ConfigurationHistory): number {
  const applied = history.of("applied").sort((a, b) => a.revision - b.revision);
  const times = history.of("work").map(({ version, atMs }) => {
    const before = applied.filter((event) => event.atMs <= atMs);
    // The version is withdrawn since the first acceptance after the last that served it.
    const serving = before.findLastIndex((event) =>
      contentOf(event.content).version === version
    );
    const withdrawnBy = before[serving + 1];
    return withdrawnBy === undefined ? 0 : atMs - withdrawnBy.atMs;
  });
  return Math.max(0, ...times);
}
