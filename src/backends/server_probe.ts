/** Asks model servers that say nothing whether they still answer at all. */

import { request } from "undici";
import type { InstanceId } from "../core/ids.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import { SERVER_REPORT_PATH } from "../platform/server_report_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Longest wait for an answer; servers stand a few milliseconds away. */
const TIMEOUT_MS = 400;
/** Time between probes of one server, in milliseconds: two fit before it counts as silent. */
const INTERVAL_MS = 200;

/** Called with what a server says of itself beside its answer to a probe. */
export type NoticeListener = (notice: ServerNotice) => void;

interface Deps {
  readonly serverStallDetector: ServerStallDetector;
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
  ask(
    server: Pick<ServerRecord, "instance" | "address">,
    onNotice: NoticeListener,
  ): void {
    const { instance } = server;
    const nowMs = this.#deps.clock.monotonicMs();
    const askedMs = this.#askedMs.get(instance);
    if (askedMs !== undefined && nowMs - askedMs < INTERVAL_MS) return;
    this.#askedMs.set(instance, nowMs);
    void this.#ask(server, onNotice);
  }

  /** Forgets a server that is gone. */
  removeServer(instance: InstanceId): void {
    this.#askedMs.delete(instance);
  }

  async #ask(
    { instance, address }: Pick<ServerRecord, "instance" | "address">,
    onNotice: NoticeListener,
  ): Promise<void> {
    const { serverStallDetector, clock, logger } = this.#deps;
    try {
      const res = await request(`http://${address}${SERVER_REPORT_PATH}`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
        reset: true,
      });
      onNotice(decodeServerNotice(res.statusCode, res.headers));
      await res.body.dump();
      serverStallDetector.recordActivity(instance, clock.monotonicMs());
    } catch (err) {
      logger.info("Server does not answer a probe", {
        server: instance,
        reason: (err as Error).message,
      });
    }
  }
}
