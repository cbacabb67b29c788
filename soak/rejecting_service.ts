/** A service whose servers reject every request, so that all requests are retried. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { RetryHistory } from "../tests/fixtures/retry_count.ts";
import { RetryRecorder } from "../tests/fixtures/retry_recorder.ts";
import { RetryServer } from "../tests/fixtures/retry_server.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST, REJECTED_PATH, REJECTING_SERVICE } from "./soak_settings.ts";
import type { SoakStore } from "./soak_store.ts";

const SERVERS = 4;
/** Time between two requests, in milliseconds. */
const INTERVAL_MS = 25;
/** Time-out of callers, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Servers and callers of the service. */
export class RejectingService {
  readonly #recorder = new RetryRecorder();
  readonly #servers = Array.from(
    { length: SERVERS },
    () =>
      new RetryServer((attempt) => this.#recorder.arrived(attempt), "rejects"),
  );
  #sent = 0;

  /** Requests that callers sent, and retries that reached the servers. */
  get history(): RetryHistory {
    return this.#recorder.history;
  }

  /** Starts and registers the servers. */
  async start(store: SoakStore): Promise<void> {
    for (const [index, server] of this.#servers.entries()) {
      const address = await server.listen();
      store.register(
        { name: `rejecting-${index}` },
        address,
        REJECTING_SERVICE,
      );
    }
  }

  /** Sends requests at a constant rate, also to gateways that are down. */
  async run(
    { gateways, random, stopped }: {
      gateways: readonly SoakGateway[];
      random: SeededRandom;
      stopped: () => boolean;
    },
  ): Promise<void> {
    let dueMs = performance.now();
    while (!stopped()) {
      void this.#call(random.pick(gateways));
      dueMs += INTERVAL_MS;
      await pause(Math.max(0, dueMs - performance.now()));
    }
  }

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
          "fieldrack-deadline-ms": String(REQUEST_TIMEOUT_MS),
        },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      await res.body.dump();
    } catch {
      // Callers' results do not matter: servers record the requests that reach them.
    }
  }
}
