/** Repeatedly sends a poison request, which crashes each server that starts to run it. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { Ending, History } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST, POISON_PATH } from "./soak_settings.ts";

/** Pauses between attempts, in milliseconds. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 150;
const REQUEST_TIMEOUT_MS = 3_000;

export interface PoisonOptions {
  readonly history: History;
  readonly gateways: readonly SoakGateway[];
  readonly random: SeededRandom;
  readonly keys: () => readonly string[];
}

/** Sends the same request to random gateways until it is stopped. */
export class PoisonCaller {
  readonly #name: string;
  readonly #options: PoisonOptions;
  #sent = 0;

  constructor(name: string, options: PoisonOptions) {
    this.#name = name;
    this.#options = options;
  }

  /** Sends the request repeatedly, on a new connection each time. */
  async run(stopped: () => boolean): Promise<void> {
    const { random, gateways } = this.#options;
    while (!stopped()) {
      await this.#call(random.pick(gateways));
      await pause(random.integer(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  async #call(gateway: SoakGateway): Promise<void> {
    const { history, keys } = this.#options;
    this.#sent += 1;
    const attempt = `${this.#name}-${this.#sent}`;
    const key = keys()[0] ?? "";
    const sentMs = performance.now();
    const ending = await send(gateway, { attempt, key });
    history.poisonRequests.push({
      attempt,
      kind: "stream",
      gateway: gateway.name,
      key,
      sentMs,
      endMs: performance.now(),
      ending,
    });
  }
}

async function send(
  { callers }: SoakGateway,
  { attempt, key }: { attempt: string; key: string },
): Promise<Ending> {
  let begun = false;
  try {
    const res = await request(`http://${callers}${POISON_PATH}`, {
      headers: {
        host: HOST,
        authorization: `Bearer ${key}`,
        "fieldrack-attempt-id": attempt,
        "fieldrack-deadline-ms": String(REQUEST_TIMEOUT_MS),
      },
      reset: true,
      headersTimeout: 2 * REQUEST_TIMEOUT_MS,
      bodyTimeout: 2 * REQUEST_TIMEOUT_MS,
    });
    begun = true;
    const body = await res.body.text();
    return { tag: "answered", status: res.statusCode, body };
  } catch {
    // The ending does not matter: servers record the requests that reach them.
    return { tag: "cut", begun };
  }
}
