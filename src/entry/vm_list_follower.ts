/**
 * Follows the platform's list of VMs, which lags: relays query the platform, others query relays.
 */

import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { BackendId } from "../core/ids.ts";
import type { ServerPool } from "../core/routing/server_pool.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Peers } from "../peers/peers.ts";
import type { Prober } from "../peers/prober.ts";
import type { RelayRole } from "../peers/relay_role.ts";
import type { VmViewHolder } from "../peers/vm_view_holder.ts";
import type { Platform } from "../platform/platform.ts";
import type { VmView } from "../protocol/peer_schema.ts";
import type { VmList } from "../protocol/platform_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import { sha256 } from "../runtime/hashing.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";

const LIST_INTERVAL_MS = 2_000;

interface Deps {
  readonly platform: Platform;
  readonly peers: Peers;
  readonly relayRole: RelayRole;
  readonly vmViewHolder: VmViewHolder;
  readonly configurationStore: ConfigurationStore;
  readonly freshness: Freshness;
  readonly clock: Clock;
  readonly serverPool: ServerPool;
  readonly prober: Prober;
  readonly entryMetrics: EntryMetrics;
}

/** Keeps track of other entry VMs and of draining backend servers. */
export class VmListFollower {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: LIST_INTERVAL_MS,
    run: () => this.#refresh(),
  });
  #etag = "";

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  async #refresh(): Promise<void> {
    const { relayRole } = this.#deps;
    if (relayRole.isRelay || !await this.#tryRelay()) await this.#tryPlatform();
  }

  /** Queries relays in turn; returns whether one answered. */
  async #tryRelay(): Promise<boolean> {
    const {
      peers,
      relayRole,
      vmViewHolder,
      configurationStore,
      freshness,
      clock,
    } = this.#deps;
    for (const relay of relayRole.relaysByPreference()) {
      const startedMs = clock.monotonicMs();
      const answer = await peers.vmView(
        relay.peers,
        vmViewHolder.current?.version ?? "",
      );
      if (!answer.ok) continue;
      const { view, revision, confirmed_age_ms } = answer.value;
      if (view !== null) this.#applyView(view);
      if (revision <= configurationStore.revision) {
        freshness.confirm(startedMs - confirmed_age_ms);
      }
      return true;
    }
    return false;
  }

  async #tryPlatform(): Promise<void> {
    const { platform, entryMetrics } = this.#deps;
    const answer = await platform.listVms({ etag: this.#etag });
    const outcome = answer.ok ? "answered" : answer.error.tag;
    entryMetrics.platformCalls.inc({ kind: "list_vms", outcome });
    if (!answer.ok || answer.value.list === undefined) return;
    this.#etag = answer.value.etag;
    this.#applyView(summarizeVmList(answer.value.list));
  }

  #applyView(view: VmView): void {
    const { vmViewHolder, serverPool, prober } = this.#deps;
    vmViewHolder.set(view);
    serverPool.setDraining(view.leaving);
    prober.setListedAddresses(view.entries);
  }
}

function summarizeVmList({ vms }: VmList): VmView {
  const leaving = vms
    .filter((vm) => vm.kind === "backend" && vm.state === "leaving")
    .map((vm) => vm.id as BackendId)
    .sort();
  const entries = vms
    .filter((vm) => vm.kind === "entry" && vm.state === "live")
    .flatMap((vm) => vm.peers ?? [])
    .sort();
  return {
    version: sha256(JSON.stringify([leaving, entries])),
    leaving,
    entries,
  };
}
