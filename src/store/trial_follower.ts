/** Follows and writes how far trials have come: objects of our own kind in the store. */

import * as z from "zod";
import type { ReleaseId, ServiceId } from "../core/ids.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { Canary } from "../core/rollout/canary.ts";
import {
  describeStoreError,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/** Kind of the objects. */
const TRIAL_KIND = "fieldrack-trials";
/** Longest wait for the answer to a write. */
const WRITE_TIMEOUT_MS = 1_000;

const trialSchema = z.object({
  service: z.string().transform((text) => text as ServiceId),
  release: z.string().transform((text) => text as ReleaseId),
  share: z.number().min(0).max(1),
});

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly seenRevisions: SeenRevisions;
  readonly releaseGate: ReleaseGate;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Keeps the release gate true to the trials. */
export class TrialFollower implements KindListener {
  readonly #deps: Deps;
  /** Its copy of the kind, to exchange with other VMs. */
  readonly follower: KindFollower;
  readonly #revisions = new Map<string, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: TRIAL_KIND,
      listener: this,
    });
  }

  /** Starts to follow. */
  start(): void {
    this.follower.start();
  }

  /** Stops to follow. */
  stop(): void {
    this.follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    for (const object of objects) this.changed(object);
  }

  changed(object: StoredObject): void {
    const { releaseGate, logger } = this.#deps;
    const parsed = trialSchema.safeParse(object.spec);
    if (!parsed.success) {
      logger.warn("Trial is not understood", { object: object.name });
      return;
    }
    this.#revisions.set(object.name, object.revision);
    releaseGate.setCanary(parsed.data);
    logger.info("Trial changed", { ...parsed.data });
  }

  deleted(object: StoredObject): void {
    this.#revisions.delete(object.name);
  }

  /** Writes how far a trial has come, unless another VM has written meanwhile. */
  async write(trial: Canary): Promise<boolean> {
    const { objectStore, logger } = this.#deps;
    const key = { kind: TRIAL_KIND, name: trial.service };
    const revision = this.#revisions.get(trial.service);
    const call = { timeoutMs: WRITE_TIMEOUT_MS, spec: trial };
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
    logger.info("Trial was not written", {
      ...trial,
      reason: describeStoreError(written.error),
    });
    return false;
  }
}
