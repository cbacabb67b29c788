/** Follows and writes the state of canaries, each an object of a kind of its own in the store. */

import * as z from "zod";
import type { ReleaseId, ServiceId } from "../core/ids.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { Canary } from "../core/rollout/canary.ts";
import {
  describeStoreError,
  type ObjectContent,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

const CANARY_KIND = "fieldrack-trials";
const WRITE_TIMEOUT_MS = 1_000;

const canarySchema = z.object({
  service: z.string().transform((text) => text as ServiceId),
  release: z.string().transform((text) => text as ReleaseId),
  share: z.number().min(0).max(1),
});

/** Returns the fields of a canary; none if it cannot be decoded. */
function normalizeCanary({ spec }: ObjectContent): ObjectContent {
  const { data = null } = canarySchema.safeParse(spec);
  return { spec: data, status: null };
}

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthMonitor;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly seenRevisions: SeenRevisions;
  readonly releaseGate: ReleaseGate;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Applies canaries to the release gate. */
export class CanaryFollower implements KindListener {
  readonly #deps: Deps;
  /** Follower of the kind, whose changes are exchanged with other VMs. */
  readonly follower: KindFollower;
  /** Last revision of each object, by name. */
  readonly #revisions = new Map<string, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: CANARY_KIND,
      normalize: normalizeCanary,
      listener: this,
    });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    for (const object of objects) this.changed(object);
  }

  changed(object: StoredObject): void {
    const { releaseGate, logger } = this.#deps;
    const parsed = canarySchema.safeParse(object.spec);
    if (!parsed.success) {
      logger.warn("Canary could not be decoded", { object: object.name });
      return;
    }
    this.#revisions.set(object.name, object.revision);
    releaseGate.setCanary(parsed.data);
    logger.info("Canary changed", { ...parsed.data });
  }

  deleted(object: StoredObject): void {
    this.#revisions.delete(object.name);
  }

  /** Writes the state of a canary, unless another VM has written a later revision. */
  async write(canary: Canary): Promise<boolean> {
    const { objectStore, logger } = this.#deps;
    const key = { kind: CANARY_KIND, name: canary.service };
    const revision = this.#revisions.get(canary.service);
    const call = { timeoutMs: WRITE_TIMEOUT_MS, spec: canary };
    const written = revision === undefined
      ? await objectStore.create(key, call)
      : await objectStore.replace(key, { ...call, revision });
    if (written.ok) {
      this.changed(written.value);
      return true;
    }
    if (written.error.tag === "conflict" && written.error.current) {
      this.changed(written.error.current);
    }
    // A restored store may lack the object, which the next attempt then creates.
    if (written.error.tag === "missing") this.#revisions.delete(key.name);
    logger.info("Could not write a canary", {
      ...canary,
      reason: describeStoreError(written.error),
    });
    return false;
  }
}
