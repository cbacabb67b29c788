/** A caller that sends requests one after the other and records how they ended. */

import { performance } from "node:perf_hooks";
import { Agent, request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { Ending, History, RequestKind, RequestRecord } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST, PARTS_HEADER, SHARED_PART } from "./soak_settings.ts";

const KINDS: readonly RequestKind[] = ["once", "repeatable", "stream"];
const CONNECT_TIMEOUT_MS = 500;
/** Time-out of a request, which the caller also sends to the gateway as the deadline. */
const REQUEST_TIMEOUT_MS = 3_000;
const CONNECT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
]);

export interface CallerOptions {
  readonly history: History;
  readonly gateways: readonly SoakGateway[];
  readonly random: SeededRandom;
  /** Keys that callers use, some of which may have been removed. */
  readonly keys: () => readonly string[];
}

/** One caller, which keeps its connections open as long as the gateways do. */
export class SoakCaller {
  readonly #name: string;
  readonly #options: CallerOptions;
  readonly #agent = new Agent({
    connections: 1,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  #sent = 0;

  constructor(name: string, options: CallerOptions) {
    this.#name = name;
    this.#options = options;
  }

  /** Sends requests until it is stopped. */
  async run(stopped: () => boolean): Promise<void> {
    const { random, gateways } = this.#options;
    while (!stopped()) {
      await this.call(random.pick(gateways), random.pick(KINDS));
      await pause(random.integer(0, 60));
    }
  }

  /** Sends one request, then records and returns how it ended. */
  async call(gateway: SoakGateway, kind: RequestKind): Promise<RequestRecord> {
    const { history, random, keys } = this.#options;
    this.#sent += 1;
    const attempt = `${this.#name}-${this.#sent}`;
    const key = random.pick(keys());
    const sentMs = performance.now();
    const ending = await this.#send(gateway, { attempt, kind, key });
    const endMs = performance.now();
    const { name } = gateway;
    const record = { attempt, kind, gateway: name, key, sentMs, endMs, ending };
    history.requests.push(record);
    return record;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    { callers }: SoakGateway,
    { attempt, kind, key }: Pick<RequestRecord, "attempt" | "kind" | "key">,
  ): Promise<Ending> {
    let begun = false;
    try {
      const res = await request(`http://${callers}/${kind}/${attempt}`, {
        method: kind === "once" ? "POST" : "GET",
        headers: {
          host: HOST,
          authorization: `Bearer ${key}`,
          "fieldrack-attempt-id": attempt,
          "fieldrack-deadline-ms": String(REQUEST_TIMEOUT_MS),
          [PARTS_HEADER]: `${SHARED_PART},${attempt}:10`,
        },
        body: kind === "once" ? "a body" : undefined,
        dispatcher: this.#agent,
        headersTimeout: 2 * REQUEST_TIMEOUT_MS,
        bodyTimeout: 2 * REQUEST_TIMEOUT_MS,
      });
      begun = true;
      const body = await res.body.text();
      return { tag: "answered", status: res.statusCode, body };
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      if (CONNECT_ERROR_CODES.has(code)) return { tag: "not_connected" };
      return { tag: "cut", begun };
    }
  }
}
