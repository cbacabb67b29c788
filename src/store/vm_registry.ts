/**
 * Registers the addresses of entry VMs in the store, each as an object of a kind of its own. VMs
 * read them if they reach none of the seeds in their settings, which may all have stopped.
 */

import * as z from "zod";
import {
  describeStoreError,
  type ObjectStore,
} from "../platform/object_store.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { UnfollowedWriter } from "./unfollowed_writer.ts";

const VM_KIND = "fieldrack-vms";
const CALL_TIMEOUT_MS = 1_000;
/** Minimum time between attempts to register. */
const REGISTER_RETRY_INTERVAL_MS = 2_000;
/** Minimum time between lists of the registered VMs. */
const LIST_INTERVAL_MS = 2_000;

const vmSchema = z.object({ peers: z.string() });

interface Deps {
  readonly objectStore: ObjectStore;
  readonly unfollowedWriter: Pick<UnfollowedWriter, "put">;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly vmSettings: VmSettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Registers this VM and discovers the others. */
export class VmRegistry {
  readonly #deps: Deps;
  #lastListMs = -Infinity;
  #lastAttemptMs = -Infinity;
  #registered = false;
  #addresses: readonly string[] = [];

  constructor(deps: Deps) {
    this.#deps = deps;
    // A restored store may lack the address.
    deps.storeEraMonitor.onRestored(() => this.#registered = false);
  }

  /** Peer addresses of the registered VMs, as last read. */
  get addresses(): readonly string[] {
    return this.#addresses;
  }

  /** Writes the address of this VM, unless it is already registered. */
  async register(): Promise<void> {
    const { unfollowedWriter, storeEraMonitor, vmSettings, clock, logger } =
      this.#deps;
    const { peers } = vmSettings.listen;
    if (peers === undefined || this.#registered) return;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#lastAttemptMs < REGISTER_RETRY_INTERVAL_MS) return;
    this.#lastAttemptMs = nowMs;
    const key = { kind: VM_KIND, name: vmSettings.vm };
    const result = await unfollowedWriter.put(key, {
      timeoutMs: CALL_TIMEOUT_MS,
      spec: { peers },
    });
    // An answer of an earlier era may be about a write that a restore has undone.
    this.#registered = result.ok && result.value.era >= storeEraMonitor.era;
    if (result.ok) return;
    logger.info("Could not register the address of this VM", {
      reason: describeStoreError(result.error),
    });
  }

  /** Lists the registered VMs, at most once per interval; called while this VM has no peers. */
  async refreshAddresses(): Promise<void> {
    const { objectStore, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#lastListMs < LIST_INTERVAL_MS) return;
    this.#lastListMs = nowMs;
    const listing = await objectStore.list(VM_KIND, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!listing.ok) {
      logger.info("Could not list the addresses of other VMs", {
        reason: describeStoreError(listing.error),
      });
      return;
    }
    this.#addresses = listing.value.objects.flatMap(({ spec }) => {
      const parsed = vmSchema.safeParse(spec);
      return parsed.success ? [parsed.data.peers] : [];
    });
  }
}
