/**
 * Addresses of entry VMs in the store: objects of our own kind, one for each VM. They are
 * for VMs that reach none of the seeds in their settings, which may all be gone.
 */

import * as z from "zod";
import {
  describeStoreError,
  type ObjectStore,
} from "../platform/object_store.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Kind of the objects. */
const VM_KIND = "fieldrack-vms";
/** Longest wait for an answer. */
const CALL_TIMEOUT_MS = 1_000;
/** Time between tries to write, while the store does not take it. */
const WRITE_EVERY_MS = 2_000;
/** Time between reads of the list while this VM knows of no other. */
const LIST_EVERY_MS = 2_000;

const vmSchema = z.object({ peers: z.string() });

interface Deps {
  readonly objectStore: ObjectStore;
  readonly vmSettings: VmSettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Writes this VM down, and reads who else is there. */
export class VmRegistry {
  readonly #deps: Deps;
  #listedAtMs = -Infinity;
  #triedAtMs = -Infinity;
  #written = false;
  #addresses: readonly string[] = [];

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Addresses that other VMs have written down, as last read. */
  get addresses(): readonly string[] {
    return this.#addresses;
  }

  /** Writes the address of this VM, unless it stands there already. */
  async write(): Promise<void> {
    const { objectStore, vmSettings, clock, logger } = this.#deps;
    const { peers } = vmSettings.listen;
    if (peers === undefined || this.#written) return;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#triedAtMs < WRITE_EVERY_MS) return;
    this.#triedAtMs = nowMs;
    const key = { kind: VM_KIND, name: vmSettings.vm };
    const call = { timeoutMs: CALL_TIMEOUT_MS, spec: { peers } };
    let done = await objectStore.create(key, call);
    if (!done.ok && done.error.tag === "conflict" && done.error.current) {
      const { revision } = done.error.current;
      done = await objectStore.replace(key, { ...call, revision });
    }
    this.#written = done.ok;
    if (done.ok) return;
    logger.info("Address of this VM was not written", {
      reason: describeStoreError(done.error),
    });
  }

  /** Called while this VM knows of no other: reads the list now and then. */
  async whileAlone(): Promise<void> {
    const { objectStore, clock, logger } = this.#deps;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#listedAtMs < LIST_EVERY_MS) return;
    this.#listedAtMs = nowMs;
    const listing = await objectStore.list(VM_KIND, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!listing.ok) {
      logger.info("Addresses of other VMs were not read", {
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
