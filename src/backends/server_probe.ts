/** Asks model servers that say nothing whether they still answer at all. */

import { request } from "undici";
import type { InstanceId } from "../core/ids.ts";
import type { SilenceWatch } from "../core/servers/silence.ts";
import { SERVER_REPORT_PATH } from "../platform/server_report_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Longest wait for an answer; servers stand a few milliseconds away. */
const TIMEOUT_MS = 400;
/** Time between probes of one server, in milliseconds: two fit before it counts as silent. */
const INTERVAL_MS = 200;

interface Deps {
  readonly silenceWatch: SilenceWatch;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * A server that reads long prompts says nothing for seconds, like one that is gone. What
 * tells them apart is a question that a server answers whatever it is at.
 */
export class ServerProbe {
  readonly #deps: Deps;
  readonly #askedMs = new Map<InstanceId, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Asks a server, unless it was asked just now; an answer counts as a sign of life. */
  ask(instance: InstanceId, address: string): void {
    const nowMs = this.#deps.clock.monotonicMs();
    const askedMs = this.#askedMs.get(instance);
    if (askedMs !== undefined && nowMs - askedMs < INTERVAL_MS) return;
    this.#askedMs.set(instance, nowMs);
    void this.#ask(instance, address);
  }

  /** Forgets a server that is gone. */
  forget(instance: InstanceId): void {
    this.#askedMs.delete(instance);
  }

  async #ask(instance: InstanceId, address: string): Promise<void> {
    const { silenceWatch, clock, logger } = this.#deps;
    try {
      const res = await request(`http://${address}${SERVER_REPORT_PATH}`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
        reset: true,
      });
      await res.body.dump();
      silenceWatch.spoke(instance, clock.monotonicMs());
    } catch (err) {
      logger.info("Server does not answer a probe", {
        server: instance,
        reason: (err as Error).message,
      });
    }
  }
}
