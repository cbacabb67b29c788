/** Repeatedly probes gateways for the latest configuration version. */

import { performance } from "node:perf_hooks";
import { request } from "undici";
import { pause } from "../src/runtime/pause.ts";
import type { History } from "./history.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { HOST } from "./soak_settings.ts";
import { type SoakStore, versionPath } from "./soak_store.ts";

const PROBE_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 1_500;
const UNKNOWN_ROUTE_STATUS = 404;

/** Records which configuration version each gateway has. */
export class VersionProber {
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

  /** Probes all gateways until it is stopped. */
  async run(stopped: () => boolean): Promise<void> {
    while (!stopped()) {
      await Promise.all(this.#gateways.map((gateway) => this.#probe(gateway)));
      await pause(PROBE_INTERVAL_MS);
    }
  }

  async #probe(gateway: SoakGateway): Promise<void> {
    const { version } = this.#store;
    const { incarnation, startedMs } = gateway;
    const probedMs = performance.now();
    const hasVersion = await hasConfigurationVersion(gateway, version);
    // Discards inconclusive probes: later configurations lack the route, and a restart may reset the
    // version.
    const isConclusive = this.#store.version <= version + 1 &&
      gateway.incarnation === incarnation;
    if (hasVersion === undefined || !isConclusive) return;
    const { name } = gateway;
    this.#history.versionProbes.push({
      gateway: name,
      incarnation,
      startedMs,
      version,
      probedMs,
      hasVersion,
    });
  }
}

/** Whether a gateway has the route of a version; undefined if its response does not say. */
export async function hasConfigurationVersion(
  { callers }: SoakGateway,
  version: number,
): Promise<boolean | undefined> {
  try {
    const res = await request(`http://${callers}${versionPath(version)}x`, {
      headers: {
        host: HOST,
        "fieldrack-deadline-ms": String(PROBE_TIMEOUT_MS),
      },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    const body = await res.body.text();
    if (res.statusCode === UNKNOWN_ROUTE_STATUS) return false;
    return body.includes("no_server") ? true : undefined;
  } catch {
    // A gateway that is down or frozen does not reveal its configuration.
    return undefined;
  }
}
