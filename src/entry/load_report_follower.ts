/** Asks model servers for their load, a few at a time. */

import type { ModelServers } from "../backends/model_servers.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { BackendSelector } from "./backend_selector.ts";

interface Deps {
  readonly settings: Settings;
  readonly backendSelector: BackendSelector;
  readonly modelServers: ModelServers;
  readonly serverPool: ServerPool;
  readonly clock: Clock;
}

/** Keeps load reports of the used model servers fresh. */
export class LoadReportFollower {
  readonly #deps: Deps;
  readonly #task: RepeatedTask;

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
    const { backendSelector, modelServers, serverPool, clock } = this.#deps;
    await Promise.all(
      backendSelector.usedModelServers().map(async (server) => {
        const load = await modelServers.load(server);
        if (!load.ok) return;
        serverPool.report(server.id, {
          ...load.value,
          receivedAtMs: clock.monotonicMs(),
        });
      }),
    );
  }
}
