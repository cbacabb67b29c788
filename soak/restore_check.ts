/** Checks what gateways do after the store was restored from a copy. */

import type { History } from "./history.ts";
import { BOUNDS, READS_PER_S } from "./soak_settings.ts";
import {
  type Violation,
  wasAffectedByFault,
  wasRestarted,
} from "./violation.ts";

/** Time for which a gateway that has just started may lack a configuration. */
const START_MS = 3_000;

/** Reads of the store stay within its rate limit, and what is written again is in force in time. */
export function checkRestores(history: History): Violation[] {
  const busy = history.restores
    .filter(({ readsPerSecond }) => readsPerSecond > READS_PER_S)
    .map(({ readsPerSecond }) => ({
      promise: "reads of a restored store",
      detail: `${readsPerSecond} reading calls in the second after the restore`,
    }));
  return [...busy, ...checkInForce(history)];
}

function checkInForce(history: History): Violation[] {
  return history.restores.flatMap(({ version, writtenMs }) => {
    const untilMs = writtenMs + BOUNDS.configurationApplyMs;
    const late = history.versionProbes.filter((probe) => {
      const { gateway, probedMs, startedMs } = probe;
      const span = { gateway, fromMs: writtenMs, untilMs: probedMs };
      return !probe.hasVersion && probe.version === version &&
        probedMs > untilMs && probedMs > startedMs + START_MS &&
        !wasAffectedByFault(history, span) && !wasRestarted(history, span);
    });
    if (late.length === 0) return [];
    const gateways = [...new Set(late.map(({ gateway }) => gateway))];
    const lateMs = Math.round((late.at(-1)?.probedMs ?? 0) - untilMs);
    return [{
      promise: "configuration of a restored store",
      detail:
        `${gateways.join()} lacked version ${version} up to ${lateMs} ms late`,
    }];
  });
}
