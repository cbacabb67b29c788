/** Fetches load reports from model servers in rotation, within a request budget. */

import type { ModelServers } from "../backends/model_servers.ts";
import type { BackendServer } from "../core/config/configuration.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { BackendSelector } from "./backend_selector.ts";

const MS_PER_SECOND = 1_000;

interface Deps {
  readonly settings: Settings;
  readonly backendSelector: BackendSelector;
  readonly modelServers: ModelServers;
  readonly serverPool: ServerPool;
  readonly clock: Clock;
}

/**
 * Keeps load reports of the model servers in use as fresh as the budget allows: the more servers
 * there are, the less often each is queried.
 */
export class LoadReportFollower {
  readonly #deps: Deps;
  readonly #task: RepeatedTask;
  #queue: BackendServer[] = [];

  constructor(deps: Deps) {
    this.#deps = deps;
    const intervalMs = deps.settings.backends.report_interval_ms;
    this.#task = new RepeatedTask({ intervalMs, run: () => this.#refresh() });
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  async #refresh(): Promise<void> {
    const { report_interval_ms, reports_per_second } =
      this.#deps.settings.backends;
    const budget = Math.max(
      1,
      reports_per_second * report_interval_ms / MS_PER_SECOND,
    );
    if (this.#queue.length === 0) {
      this.#queue = this.#deps.backendSelector.modelServersInUse();
    }
    const servers = this.#queue.splice(0, Math.floor(budget));
    await Promise.all(servers.map((server) => this.#fetchLoad(server)));
  }

  async #fetchLoad(server: BackendServer): Promise<void> {
    const { modelServers, serverPool, clock } = this.#deps;
    // A server in backoff should get no requests, and its load does not affect selection.
    if (serverPool.isBackingOff(server.id, clock.monotonicMs())) return;
    const load = await modelServers.load(server);
    if (!load.ok) return;
    serverPool.report(server.id, {
      ...load.value,
      receivedAtMs: clock.monotonicMs(),
    });
  }
}
