/** Finds out which requests were running where servers ended. */

import type { TryOutcome } from "../backends/backend_try.ts";
import type { ServerEndCheck } from "../backends/server_end_check.ts";
import type { ServiceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { TryRecord } from "./try_record.ts";

interface Deps {
  readonly serverEndCheck: ServerEndCheck;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A try whose connection broke off. */
export interface BrokenTry {
  readonly identity: RequestIdentity;
  readonly attempt: string | undefined;
  readonly service: ServiceId;
  readonly server: ServerRecord;
  readonly record: TryRecord;
}

/** Asks after each try that broke off whether its server has ended. */
export class CrashWatch {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Notes a try that broke off; resolves when it is known whether its server has ended. */
  async brokeOff(
    { identity, attempt, service, server, record }: BrokenTry,
  ): Promise<void> {
    const { serverEndCheck, clock, logger } = this.#deps;
    const endedMs = clock.monotonicMs();
    if (!await serverEndCheck.hasEnded(server)) return;
    const beganMs = record.startedMs + (record.firstByteMs ?? 0);
    logger.info("Server ended under a request", {
      request: identity.key,
      attempt,
      service,
      server: server.instance,
      address: server.address,
      release: server.release,
      model: record.model,
      begun: record.firstByteMs !== undefined,
      ran_ms: Math.round(endedMs - beganMs),
    });
  }
}

/** Whether a try ended by its connection, and not by what its server said. */
export function endedByConnection(outcome: TryOutcome): boolean {
  return outcome.tag === "broken" || outcome.tag === "stream_broken";
}
