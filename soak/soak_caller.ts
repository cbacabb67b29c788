/** A caller that sends one request after the other, and notes what it got. */

import { performance } from "node:perf_hooks";
import { Agent, request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { Draw } from "./draw.ts";
import type { CallerRecord, Ending, History, RequestKind } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST } from "./soak_settings.ts";

const KINDS: readonly RequestKind[] = ["once", "repeatable", "stream"];
const CONNECT_TIMEOUT_MS = 500;
/** Longest that a caller waits; it tells the gateway so. */
const WAIT_MS = 3_000;
const NOT_CONNECTED: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** What callers work with. */
export interface CallerOptions {
  readonly history: History;
  readonly gateways: readonly SoakGateway[];
  readonly draw: Draw;
  /** Keys that callers use; some may have been removed. */
  readonly keys: () => readonly string[];
}

/** One caller; it keeps its connections open for as long as the gateways do. */
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

  /** Sends requests until it is told to stop. */
  async run(stopped: () => boolean): Promise<void> {
    const { draw, gateways } = this.#options;
    while (!stopped()) {
      await this.call(draw.one(gateways), draw.one(KINDS));
      await pause(draw.whole(0, 60));
    }
  }

  /** Sends one request; notes and returns what became of it. */
  async call(gateway: SoakGateway, kind: RequestKind): Promise<CallerRecord> {
    const { history, draw, keys } = this.#options;
    this.#sent += 1;
    const attempt = `${this.#name}-${this.#sent}`;
    const key = draw.one(keys());
    const sentMs = performance.now();
    const ending = await this.#send(gateway, { attempt, kind, key });
    const endMs = performance.now();
    const { name } = gateway;
    const record = { attempt, kind, gateway: name, key, sentMs, endMs, ending };
    history.callers.push(record);
    return record;
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    { callers }: SoakGateway,
    { attempt, kind, key }: Pick<CallerRecord, "attempt" | "kind" | "key">,
  ): Promise<Ending> {
    let begun = false;
    try {
      const res = await request(`http://${callers}/${kind}/${attempt}`, {
        method: kind === "once" ? "POST" : "GET",
        headers: {
          host: HOST,
          authorization: `Bearer ${key}`,
          "fieldrack-attempt-id": attempt,
          "fieldrack-deadline-ms": String(WAIT_MS),
        },
        body: kind === "once" ? "a body" : undefined,
        dispatcher: this.#agent,
        headersTimeout: 2 * WAIT_MS,
        bodyTimeout: 2 * WAIT_MS,
      });
      begun = true;
      const body = await res.body.text();
      return { tag: "answered", status: res.statusCode, body };
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      if (NOT_CONNECTED.has(code)) return { tag: "not_connected" };
      return { tag: "cut", begun };
    }
  }
}
