/** Repeatedly sends requests that crash each server that starts to run them. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { Ending, RequestRecord } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST } from "./soak_settings.ts";

/** Pauses between attempts, in milliseconds. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 150;
const REQUEST_TIMEOUT_MS = 3_000;

/** A request that crashes servers. */
export interface CrashingRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

export interface CrashingCallerOptions {
  /** Returns the request of an attempt. */
  readonly requestOf: (attempt: string) => CrashingRequest;
  /** The attempts are added to these. */
  readonly records: RequestRecord[];
  readonly gateways: readonly SoakGateway[];
  readonly random: SeededRandom;
  readonly keys: () => readonly string[];
}

/** Sends requests to random gateways until it is stopped. */
export class CrashingCaller {
  readonly #name: string;
  readonly #options: CrashingCallerOptions;
  #sent = 0;

  constructor(name: string, options: CrashingCallerOptions) {
    this.#name = name;
    this.#options = options;
  }

  /** Sends requests repeatedly, on a new connection each time. */
  async run(stopped: () => boolean): Promise<void> {
    const { random, gateways } = this.#options;
    while (!stopped()) {
      await this.#call(random.pick(gateways));
      await pause(random.integer(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  async #call(gateway: SoakGateway): Promise<void> {
    const { records, requestOf, keys } = this.#options;
    this.#sent += 1;
    const attempt = `${this.#name}-${this.#sent}`;
    const key = keys()[0] ?? "";
    const sentMs = performance.now();
    const { path, headers } = requestOf(attempt);
    const ending = await send(gateway, { attempt, key, path, headers });
    records.push({
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
  { attempt, key, path, headers }: CrashingRequest & {
    attempt: string;
    key: string;
  },
): Promise<Ending> {
  let begun = false;
  try {
    const res = await request(`http://${callers}${path}`, {
      headers: {
        host: HOST,
        authorization: `Bearer ${key}`,
        "fieldrack-attempt-id": attempt,
        "fieldrack-deadline-ms": String(REQUEST_TIMEOUT_MS),
        ...headers,
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
