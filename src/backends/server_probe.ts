/** Probes backend servers that send no bytes, to find out whether they still respond. */

import { request } from "undici";
import type { InstanceId } from "../core/ids.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { decodeServerNotice } from "../platform/server_notice_wire.ts";
import { SERVER_REPORT_PATH } from "../platform/server_report_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import type { Logger } from "../runtime/logger.ts";

/** Round trips to backend servers take a few milliseconds. */
const PROBE_TIMEOUT_MS = 400;
/** Minimum interval between probes of a server; allows two before it counts as stalled. */
const PROBE_INTERVAL_MS = 200;
const MAX_REPORT_BYTES = 256 * 1_024;

/**
 * Called with the status that a server sends along with its response to a probe. `isReport` says
 * whether the response is the server's report, so that it was not made by something between.
 */
export type NoticeListener = (
  notice: ServerNotice,
  { isReport }: { isReport: boolean },
) => void;

const REPORT_STATUS = 200;

interface Deps {
  readonly serverStallDetector: ServerStallDetector;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * A server that processes long prompts sends nothing for seconds, just like one that has failed.
 * A probe tells them apart, because a live server responds to it however busy it is.
 */
export class ServerProbe {
  readonly #deps: Deps;
  readonly #agent = new HttpAgent({ maxResponseSize: MAX_REPORT_BYTES });
  readonly #probedMs = new Map<InstanceId, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Probes a server, at most once per interval; a response counts as activity of the server. */
  ask(
    server: Pick<ServerRecord, "instance" | "address">,
    onNotice: NoticeListener,
  ): void {
    const { instance } = server;
    const nowMs = this.#deps.clock.monotonicMs();
    const probedMs = this.#probedMs.get(instance);
    if (probedMs !== undefined && nowMs - probedMs < PROBE_INTERVAL_MS) return;
    this.#probedMs.set(instance, nowMs);
    void this.#probe(server, onNotice);
  }

  /** Drops the state kept for a server that was removed. */
  removeServer(instance: InstanceId): void {
    this.#probedMs.delete(instance);
  }

  async #probe(
    { instance, address }: Pick<ServerRecord, "instance" | "address">,
    onNotice: NoticeListener,
  ): Promise<void> {
    const { serverStallDetector, clock, logger } = this.#deps;
    try {
      const res = await request(`http://${address}${SERVER_REPORT_PATH}`, {
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        dispatcher: this.#agent,
        reset: true,
      });
      const { statusCode, headers } = res;
      onNotice(decodeServerNotice(statusCode, headers), {
        isReport: statusCode === REPORT_STATUS,
      });
      // Unlike `dump`, this fails if the response is cut.
      await res.body.arrayBuffer();
      serverStallDetector.recordActivity(instance, clock.monotonicMs());
    } catch (err) {
      logger.info("Server did not respond to a probe", {
        server: instance,
        reason: (err as Error).message,
      });
    }
  }
}
