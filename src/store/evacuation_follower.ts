/** Follows the evacuation orders for data centres. */

import type { DataCentreId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import {
  decodeEvacuation,
  EVACUATION_KIND,
} from "../platform/evacuation_wire.ts";
import {
  NO_CONTENT,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { OPERATOR_HOLD_MS } from "./held_changes.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

/**
 * Maximum time for a change of the store to reach all VMs: 2.1 s until a relay stands in for
 * unreachable readers, and 0.8 s from a relay to its followers.
 */
const MAX_PROPAGATION_MS = 2_900;

/** Called with the servers of a data centre that takes new work again. */
export type EvacuationEndListener = (servers: readonly ServerRecord[]) => void;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthMonitor;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly seenRevisions: SeenRevisions;
  readonly serverDirectory: ServerDirectory;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/**
 * Excludes the servers of evacuated data centres from new work. An order stays in force until its
 * deletion is seen, also while the store is unavailable.
 */
export class EvacuationFollower implements KindListener {
  readonly #deps: Deps;
  /** Follower of the kind, whose changes are exchanged with other VMs. */
  readonly follower: KindFollower;
  readonly #listeners: EvacuationEndListener[] = [];
  #hasListed = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: EVACUATION_KIND,
      normalize: () => NO_CONTENT,
      listener: this,
      restoreHold: { outdatedMs: OPERATOR_HOLD_MS, lostMs: OPERATOR_HOLD_MS },
    });
  }

  /**
   * Whether this deployment evacuates data centres. If not, the kind is not read, which saves the
   * billed first list of each VM and the watch of each reader.
   */
  get isEnabled(): boolean {
    return this.#deps.bounds.evacuationMs !== undefined;
  }

  /** Whether the orders have been read; until then no server may get work. */
  get ready(): boolean {
    return this.#hasListed || !this.isEnabled;
  }

  start(): void {
    const { bounds, logger } = this.#deps;
    if (bounds.evacuationMs === undefined) return;
    if (bounds.evacuationMs < MAX_PROPAGATION_MS) {
      logger.warn(
        "Time allowed for an evacuation is shorter than the propagation of a change",
        {
          allowed_ms: bounds.evacuationMs,
          news_ms: MAX_PROPAGATION_MS,
        },
      );
    }
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Registers a listener for data centres that take new work again. */
  onEvacuationEnd(listener: EvacuationEndListener): void {
    this.#listeners.push(listener);
  }

  listed(objects: readonly StoredObject[]): void {
    this.#hasListed = true;
    for (const object of objects) this.changed(object);
  }

  changed({ name, revision }: StoredObject): void {
    const dataCentre = decodeEvacuation(name);
    if (!this.#deps.serverDirectory.setEvacuated(dataCentre, true)) return;
    this.#log("Data centre is evacuated", { dataCentre, revision });
  }

  deleted({ name, revision }: StoredObject): void {
    const { serverDirectory } = this.#deps;
    const dataCentre = decodeEvacuation(name);
    if (!serverDirectory.setEvacuated(dataCentre, false)) return;
    this.#log("Data centre takes new work again", { dataCentre, revision });
    const servers = serverDirectory.serversIn(dataCentre);
    for (const listener of this.#listeners) listener(servers);
  }

  #log(
    message: string,
    { dataCentre, revision }: { dataCentre: DataCentreId; revision: number },
  ): void {
    const { serverDirectory, storeHealth, logger } = this.#deps;
    logger.info(message, {
      data_centre: dataCentre,
      revision,
      servers: serverDirectory.serversIn(dataCentre).length,
      evacuated: [...serverDirectory.evacuated].join(","),
      store_lost_here: storeHealth.lastCallFailed,
    });
  }
}
