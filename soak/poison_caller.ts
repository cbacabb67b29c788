/** A caller whose one request ends each server that begins to run it, and who comes again. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { Draw } from "./draw.ts";
import type { Ending, History } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST, POISON_PATH } from "./soak_settings.ts";

/** Pauses between attempts, in milliseconds. */
const LEAST_PAUSE_MS = 20;
const MOST_PAUSE_MS = 150;
const WAIT_MS = 3_000;

/** What the caller works with. */
export interface PoisonOptions {
  readonly history: History;
  readonly gateways: readonly SoakGateway[];
  readonly draw: Draw;
  readonly keys: () => readonly string[];
}

/** Sends the same request at any gateway until it is told to stop. */
export class PoisonCaller {
  readonly #name: string;
  readonly #options: PoisonOptions;
  #sent = 0;

  constructor(name: string, options: PoisonOptions) {
    this.#name = name;
    this.#options = options;
  }

  /** Comes again and again, on a new connection each time. */
  async run(stopped: () => boolean): Promise<void> {
    const { draw, gateways } = this.#options;
    while (!stopped()) {
      await this.#call(draw.one(gateways));
      await pause(draw.whole(LEAST_PAUSE_MS, MOST_PAUSE_MS));
    }
  }

  async #call(gateway: SoakGateway): Promise<void> {
    const { history, keys } = this.#options;
    this.#sent += 1;
    const attempt = `${this.#name}-${this.#sent}`;
    const key = keys()[0] ?? "";
    const sentMs = performance.now();
    const ending = await send(gateway, { attempt, key });
    history.poisonCallers.push({
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
        "fieldrack-deadline-ms": String(WAIT_MS),
      },
      reset: true,
      headersTimeout: 2 * WAIT_MS,
      bodyTimeout: 2 * WAIT_MS,
    });
    begun = true;
    const body = await res.body.text();
    return { tag: "answered", status: res.statusCode, body };
  } catch {
    // How it ended does not matter: servers tell what was sent to them.
    return { tag: "cut", begun };
  }
}
