/** Asks model servers for their load, one after another, within a budget. */

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
 * Keeps load reports of the used model servers as fresh as the budget allows: where
 * there are many servers, each is asked more rarely.
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

  /** Starts to ask. */
  start(): void {
    this.#task.start();
  }

  /** Stops to ask. */
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
      this.#queue = this.#deps.backendSelector.usedModelServers();
    }
    const servers = this.#queue.splice(0, Math.floor(budget));
    await Promise.all(servers.map((server) => this.#ask(server)));
  }

  async #ask(server: BackendServer): Promise<void> {
    const { modelServers, serverPool, clock } = this.#deps;
    // One that rests wants nothing, and its load decides nothing meanwhile.
    if (serverPool.isBackingOff(server.id, clock.monotonicMs())) return;
    const load = await modelServers.load(server);
    if (!load.ok) return;
    serverPool.report(server.id, {
      ...load.value,
      receivedAtMs: clock.monotonicMs(),
    });
  }
}
