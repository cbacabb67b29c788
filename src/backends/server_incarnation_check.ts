/** Asks model servers which incarnation of them is running. */

import { request } from "undici";
import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import {
  decodeReportedStart,
  SERVER_REPORT_PATH,
} from "../platform/server_report_wire.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import type { Logger } from "../runtime/logger.ts";

/** Round trips to backend servers take a few milliseconds. */
const TIMEOUT_MS = 400;
const MAX_REPORT_BYTES = 256 * 1_024;

/** Compares the start time that a server reports; concurrent checks of one server share a request. */
export class ServerIncarnationCheck {
  readonly #logger: Logger;
  readonly #agent = new HttpAgent({
    maxResponseSize: MAX_REPORT_BYTES,
    pipelining: 0,
  });
  readonly #starts = new Map<InstanceId, Promise<number | undefined>>();

  constructor({ logger }: { logger: Logger }) {
    this.#logger = logger;
  }

  /** Whether a server is known to run as the incarnation that its record describes. */
  async isSame(server: ServerRecord): Promise<boolean> {
    if (server.bornMs === undefined) return false;
    return await this.#startOf(server) === server.bornMs;
  }

  #startOf(server: ServerRecord): Promise<number | undefined> {
    const { instance } = server;
    const running = this.#starts.get(instance);
    if (running !== undefined) return running;
    const start = this.#ask(server)
      .finally(() => this.#starts.delete(instance));
    this.#starts.set(instance, start);
    return start;
  }

  async #ask(
    { instance, address }: ServerRecord,
  ): Promise<number | undefined> {
    try {
      const res = await request(`http://${address}${SERVER_REPORT_PATH}`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
        dispatcher: this.#agent,
      });
      return decodeReportedStart(await res.body.text());
    } catch (err) {
      this.#logger.info("Server did not report its start time", {
        server: instance,
        reason: (err as Error).message,
      });
      return undefined;
    }
  }
}
