/** Follows orders to evacuate data centres. */

import type { DataCentreId } from "../core/ids.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import {
  decodeEvacuation,
  EVACUATION_KIND,
} from "../platform/evacuation_wire.ts";
import type { ObjectStore, StoredObject } from "../platform/object_store.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/**
 * Age that news of the store may have where they come to a VM last, in milliseconds: 2.1 s
 * until a relay stands in for readers that are lost, and 0.8 s from a relay to its followers.
 */
const NEWS_MS = 2_900;

/** Called with the servers of a data centre that takes new work again. */
export type ReturnListener = (servers: readonly ServerRecord[]) => void;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly seenRevisions: SeenRevisions;
  readonly serverDirectory: ServerDirectory;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/**
 * Keeps new work from the servers of evacuated data centres. An order stays in force until
 * it is known to be taken back, also while the store is away.
 */
export class EvacuationFollower implements KindListener {
  readonly #deps: Deps;
  /** Its copy of the kind, to exchange with other VMs. */
  readonly follower: KindFollower;
  readonly #listeners: ReturnListener[] = [];
  #listedOnce = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: EVACUATION_KIND,
      listener: this,
    });
  }

  /**
   * Whether data centres are ever evacuated in this deployment. Where they are not, the kind
   * is not read: each VM's first list of it and each reader's watch would be paid for nothing.
   */
  get followed(): boolean {
    return this.#deps.bounds.evacuationMs !== undefined;
  }

  /** Whether the orders are known; before that, no server may be given work. */
  get ready(): boolean {
    return this.#listedOnce || !this.followed;
  }

  /** Starts to follow. */
  start(): void {
    const { bounds, logger } = this.#deps;
    if (bounds.evacuationMs === undefined) return;
    if (bounds.evacuationMs < NEWS_MS) {
      logger.warn("Time allowed for an evacuation is shorter than news take", {
        allowed_ms: bounds.evacuationMs,
        news_ms: NEWS_MS,
      });
    }
    this.follower.start();
  }

  /** Stops to follow. */
  stop(): void {
    this.follower.stop();
  }

  /** Registers a listener for data centres that take new work again. */
  onReturn(listener: ReturnListener): void {
    this.#listeners.push(listener);
  }

  listed(objects: readonly StoredObject[]): void {
    this.#listedOnce = true;
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
      store_lost_here: storeHealth.lostHere,
    });
  }
}
