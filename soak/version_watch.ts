/** Asks gateways again and again whether they have the newest configuration. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { History } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST } from "./soak_settings.ts";
import { type SoakStore, versionPath } from "./soak_store.ts";

const PAUSE_MS = 100;
const WAIT_MS = 1_500;
const UNKNOWN_ROUTE = 404;

/** Watches over what is in force. */
export class VersionWatch {
  readonly #history: History;
  readonly #store: SoakStore;
  readonly #gateways: readonly SoakGateway[];

  constructor(
    { history, store, gateways }: {
      history: History;
      store: SoakStore;
      gateways: readonly SoakGateway[];
    },
  ) {
    this.#history = history;
    this.#store = store;
    this.#gateways = gateways;
  }

  /** Asks all gateways until it is told to stop. */
  async run(stopped: () => boolean): Promise<void> {
    while (!stopped()) {
      await Promise.all(this.#gateways.map((gateway) => this.#ask(gateway)));
      await pause(PAUSE_MS);
    }
  }

  async #ask(gateway: SoakGateway): Promise<void> {
    const { version } = this.#store;
    const { life } = gateway;
    const askedMs = performance.now();
    const shown = await shows(gateway, version);
    // Later configurations lack the route, and other lives begin anew.
    const isClear = this.#store.version <= version + 1 && gateway.life === life;
    if (shown === undefined || !isClear) return;
    const { name } = gateway;
    this.#history.shownVersions.push({
      gateway: name,
      life,
      version,
      askedMs,
      shown,
    });
  }
}

/** Whether a gateway has the route of a version; undefined where it does not say. */
export async function shows(
  { callers }: SoakGateway,
  version: number,
): Promise<boolean | undefined> {
  try {
    const res = await request(`http://${callers}${versionPath(version)}x`, {
      headers: { host: HOST, "fieldrack-deadline-ms": String(WAIT_MS) },
      signal: AbortSignal.timeout(WAIT_MS),
    });
    const body = await res.body.text();
    if (res.statusCode === UNKNOWN_ROUTE) return false;
    return body.includes("no_server") ? true : undefined;
  } catch {
    // A gateway that is down or frozen says nothing about its configuration.
    return undefined;
  }
}
