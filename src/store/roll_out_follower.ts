/** Follows orders of roll-outs. */

import type { ServiceId } from "../core/ids.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { RollOutOrder } from "../core/servers/roll_out_order.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import type { ObjectStore, StoredObject } from "../platform/object_store.ts";
import { decodeRollOut, ROLL_OUT_KIND } from "../platform/roll_out_wire.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower, type KindListener } from "./kind_follower.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly releaseGate: ReleaseGate;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Keeps the release gate true to the orders. */
export class RollOutFollower implements KindListener {
  readonly #deps: Deps;
  readonly #follower: KindFollower;
  readonly #services = new Map<string, ServiceId>();
  #listedOnce = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#follower = new KindFollower(deps, {
      kind: ROLL_OUT_KIND,
      listener: this,
    });
  }

  /** Whether the orders are known; before that, no release may be taken as stable. */
  get ready(): boolean {
    return this.#listedOnce;
  }

  /** Starts to follow. */
  start(): void {
    this.#follower.start();
  }

  /** Stops to follow. */
  stop(): void {
    this.#follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    this.#listedOnce = true;
    const names = new Set(objects.map(({ name }) => name));
    for (const object of objects) this.changed(object);
    for (const name of [...this.#services.keys()]) {
      if (!names.has(name)) this.#forget(name);
    }
  }

  changed(object: StoredObject): void {
    const decoded = decodeRollOut(object.name, object);
    if (!decoded.ok) {
      this.#deps.logger.warn("Order of a roll-out is not understood", {
        reason: describeDecodeError(decoded.error),
      });
      return;
    }
    this.#note(object.name, decoded.value);
  }

  deleted(object: StoredObject): void {
    this.#forget(object.name);
  }

  #note(name: string, order: RollOutOrder): void {
    const { releaseGate, logger } = this.#deps;
    const known = releaseGate.order(order.service);
    this.#services.set(name, order.service);
    releaseGate.setOrder(order);
    if (known?.release === order.release && known.state === order.state) return;
    logger.info("Roll-out changed", {
      service: order.service,
      release: order.release,
      state: order.state ?? "ordered",
      limit_ms: order.limitMs,
    });
  }

  #forget(name: string): void {
    const service = this.#services.get(name);
    this.#services.delete(name);
    if (service !== undefined) this.#deps.releaseGate.removeOrder(service);
  }
}
