/** Takes in the platform's lagging list of VMs. */

import type { BackendId } from "../core/ids.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Prober } from "../peers/prober.ts";
import type { Platform } from "../platform/platform.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";

const LIST_INTERVAL_MS = 2_000;

interface Deps {
  readonly platform: Platform;
  readonly serverPool: ServerPool;
  readonly prober: Prober;
  readonly entryMetrics: EntryMetrics;
}

/** Learns of other entry VMs and of backend servers that leave. */
export class VmListFollower {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: LIST_INTERVAL_MS,
    run: () => this.#refresh(),
  });

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to ask for the list. */
  start(): void {
    this.#task.start();
  }

  /** Stops to ask for the list. */
  stop(): void {
    this.#task.stop();
  }

  async #refresh(): Promise<void> {
    const { platform, serverPool, prober, entryMetrics } = this.#deps;
    const list = await platform.listVms();
    const outcome = list.ok ? "answered" : list.error.tag;
    entryMetrics.platformCalls.inc({ kind: "list_vms", outcome });
    if (!list.ok) return;
    const { vms } = list.value;
    const leaving = vms.filter((vm) =>
      vm.kind === "backend" && vm.state === "leaving"
    );
    serverPool.setLeaving(leaving.map((vm) => vm.id as BackendId));
    const entries = vms.filter((vm) =>
      vm.kind === "entry" && vm.state === "live"
    );
    prober.setListed(entries.flatMap((vm) => vm.peers ?? []));
  }
}
