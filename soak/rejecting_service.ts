/** A service whose servers reject every request, so that all of its requests are retried. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { RetryHistory } from "../tests/fixtures/retry_count.ts";
import { RetryRecorder } from "../tests/fixtures/retry_recorder.ts";
import { RetryServer } from "../tests/fixtures/retry_server.ts";
import type { Draw } from "./draw.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST, REJECTED_PATH, REJECTING_SERVICE } from "./soak_settings.ts";
import type { SoakStore } from "./soak_store.ts";

const SERVERS = 4;
/** Time between two requests of its callers, in milliseconds. */
const INTERVAL_MS = 25;
/** Longest that a caller waits, in milliseconds. */
const WAIT_MS = 2_000;

/** Servers and callers of the service. */
export class RejectingService {
  readonly #recorder = new RetryRecorder();
  readonly #servers = Array.from(
    { length: SERVERS },
    () =>
      new RetryServer((attempt) => this.#recorder.arrived(attempt), "rejects"),
  );
  #sent = 0;

  /** What callers have sent, and which retries have come to its servers. */
  get history(): RetryHistory {
    return this.#recorder.history;
  }

  /** Starts the servers and writes them down. */
  async start(store: SoakStore): Promise<void> {
    for (const [at, server] of this.#servers.entries()) {
      const address = await server.listen();
      store.list({ name: `rejecting-${at}` }, address, REJECTING_SERVICE);
    }
  }

  /** Sends requests at a steady rate, to gateways that are down as well. */
  async run(
    { gateways, draw, stopped }: {
      gateways: readonly SoakGateway[];
      draw: Draw;
      stopped: () => boolean;
    },
  ): Promise<void> {
    let dueMs = performance.now();
    while (!stopped()) {
      void this.#call(draw.one(gateways));
      dueMs += INTERVAL_MS;
      await pause(Math.max(0, dueMs - performance.now()));
    }
  }

  /** Ends the servers. */
  async close(): Promise<void> {
    await Promise.all(this.#servers.map((server) => server.close()));
  }

  async #call({ callers, name }: SoakGateway): Promise<void> {
    this.#sent += 1;
    this.#recorder.sent();
    try {
      const res = await request(`http://${callers}${REJECTED_PATH}`, {
        headers: {
          host: HOST,
          "fieldrack-attempt-id": `${name}-rejected-${this.#sent}`,
          "fieldrack-deadline-ms": String(WAIT_MS),
        },
        signal: AbortSignal.timeout(WAIT_MS),
      });
      await res.body.dump();
    } catch {
      // What callers get does not matter here: servers tell what was sent to them.
    }
  }
}
