/** Follows orders of roll-outs. */

import type { ServiceId } from "../core/ids.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type {
  RollOutOrder,
  RollOutState,
} from "../core/servers/roll_out_order.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import {
  describeStoreError,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import {
  decodeRollOut,
  encodeRollOutStatus,
  ROLL_OUT_KIND,
} from "../platform/roll_out_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/** Longest wait for the answer to a write. */
const WRITE_TIMEOUT_MS = 1_000;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly seenRevisions: SeenRevisions;
  readonly releaseGate: ReleaseGate;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Keeps the release gate true to the orders. */
export class RollOutFollower implements KindListener {
  readonly #deps: Deps;
  /** Its copy of the kind, to exchange with other VMs. */
  readonly follower: KindFollower;
  readonly #services = new Map<string, ServiceId>();
  #listedOnce = false;
  #onChange: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: ROLL_OUT_KIND,
      listener: this,
    });
  }

  /** Whether the orders are known; before that, no release may be taken as stable. */
  get ready(): boolean {
    return this.#listedOnce;
  }

  /** Sets what is called when an order or its state may have changed. */
  onChange(listener: () => void): void {
    this.#onChange = listener;
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

  /**
   * Writes how far a roll-out has come, unless it is decided or has changed meanwhile.
   * Returns whether it was written.
   */
  async report(order: RollOutOrder, state: RollOutState): Promise<boolean> {
    const { objectStore, logger } = this.#deps;
    const name = this.#nameOf(order.service);
    if (name === undefined) return false;
    const key = { kind: ROLL_OUT_KIND, name };
    const call = { timeoutMs: WRITE_TIMEOUT_MS };
    const read = await objectStore.get(key, call);
    if (!read.ok) return false;
    this.changed(read.value);
    const current = this.#deps.releaseGate.order(order.service);
    if (current === undefined || !mayReport(current, { order, state })) {
      return false;
    }
    const written = await objectStore.replaceStatus(key, {
      ...call,
      status: encodeRollOutStatus(order.release, state),
      revision: read.value.revision,
    });
    if (written.ok) {
      this.changed(written.value);
      return true;
    }
    logger.info("State of a roll-out was not written", {
      service: order.service,
      state,
      reason: describeStoreError(written.error),
    });
    return false;
  }

  #nameOf(service: ServiceId): string | undefined {
    return [...this.#services].find(([, known]) => known === service)?.[0];
  }

  #note(name: string, order: RollOutOrder): void {
    const { releaseGate, logger } = this.#deps;
    const known = releaseGate.order(order.service);
    this.#services.set(name, order.service);
    releaseGate.setOrder(order);
    this.#onChange();
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
    this.#onChange();
  }
}

/** A decided roll-out stays as it is, and a newer order is not reported on by an older. */
function mayReport(
  current: RollOutOrder,
  { order, state }: { order: RollOutOrder; state: RollOutState },
): boolean {
  if (current.release !== order.release) return false;
  if (current.stateRelease !== current.release) return true;
  return current.state === "in_progress" && state !== "in_progress";
}
