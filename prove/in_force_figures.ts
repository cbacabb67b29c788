/** How long it took until accepted configurations were in force. */

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
  return {
    revisions: String(history.of("applied").length),
    "in force p50": at(0.5),
    "in force p99": at(0.99),
    "in force worst, faults included": at(1),
  };
}
