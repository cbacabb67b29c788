/** Measures how long accepted configurations took to come into effect. */

import { variantOf } from "./configuration_checker.ts";
import type { ConfigurationHistory } from "./configuration_history.ts";

/** Returns percentiles over all pairs of a revision and an entry. */
export function propagationFigures(
  history: ConfigurationHistory,
): Record<string, string> {
  const responses = history.eventsOfKind("answered").sort((a, b) =>
    a.returnedMs - b.returnedMs
  );
  const entries = [...new Set(responses.map(({ entry }) => entry))];
  const times = history.eventsOfKind("applied").flatMap(({ revision, atMs }) =>
    entries.flatMap((entry) => {
      const first = responses.find((response) =>
        response.entry === entry && response.revision >= revision
      );
      return first === undefined ? [] : [Math.max(0, first.returnedMs - atMs)];
    })
  ).sort((a, b) => a - b);
  const percentile = (share: number) =>
    `${times[Math.floor((times.length - 1) * share)]} ms`;
  const applyTimes = history.eventsOfKind("applied")
    .map(({ invokedMs, atMs }) => atMs - invokedMs).sort((a, b) => a - b);
  return {
    revisions: String(history.eventsOfKind("applied").length),
    "apply accepted after p50": `${
      applyTimes[Math.floor(applyTimes.length / 2)]
    } ms`,
    "first response with the new revision p50": percentile(0.5),
    "first response with the new revision p99, including entries that refused calls":
      percentile(0.99),
    "first response with the new revision max, including entries that refused calls":
      percentile(1),
    "last new work on a withdrawn version after": `${
      maxWithdrawnWorkMs(history)
    } ms`,
  };
}

/** Returns the longest time from the acceptance that withdraws a version to its last new work. */
function maxWithdrawnWorkMs(history: ConfigurationHistory): number {
  const applied = history.eventsOfKind("applied").sort((a, b) =>
    a.revision - b.revision
  );
  const times = history.eventsOfKind("work").map(({ version, atMs }) => {
    const before = applied.filter((event) => event.atMs <= atMs);
    // The version is withdrawn by the first acceptance after the last one that served it.
    const lastServing = before.findLastIndex((event) =>
      variantOf(event.content).version === version
    );
    const withdrawnBy = before[lastServing + 1];
    return withdrawnBy === undefined ? 0 : atMs - withdrawnBy.atMs;
  });
  return Math.max(0, ...times);
}
