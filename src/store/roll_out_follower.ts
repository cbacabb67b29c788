/** Follows roll-out orders and writes their state. */

import type { ServiceId } from "../core/ids.ts";
import { DecidedRollOuts } from "../core/rollout/decided_roll_outs.ts";
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
  UNREPORTED_ERA,
} from "../platform/object_store.ts";
import {
  decodeRollOut,
  encodeRollOutStatus,
  normalizeRollOut,
  ROLL_OUT_KIND,
} from "../platform/roll_out_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import { OPERATOR_HOLD_MS } from "./held_changes.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

const WRITE_TIMEOUT_MS = 1_000;
/** A restored store lacks what operators have ordered since, until they order it again. */
const RESTORE_HOLD = { outdatedMs: OPERATOR_HOLD_MS, lostMs: OPERATOR_HOLD_MS };
/** Random delay before a lost decision is written again, so that one VM does it for all. */
const REWRITE_SPREAD_MS = 300;
const REWRITE_RETRY_DELAY_MS = 1_000;

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

/** Applies roll-out orders to the release gate. */
export class RollOutFollower implements KindListener {
  readonly #deps: Deps;
  /** Follower of the kind, whose changes are exchanged with other VMs. */
  readonly follower: KindFollower;
  /** Service of each order, by object name. */
  readonly #services = new Map<string, ServiceId>();
  readonly #decided = new DecidedRollOuts();
  /** Services whose lost decisions are being written again. */
  readonly #rewriting = new Set<ServiceId>();
  #hasListed = false;
  #stopped = false;
  #onChange: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: ROLL_OUT_KIND,
      normalize: normalizeRollOut,
      listener: this,
      restoreHold: RESTORE_HOLD,
    });
  }

  /** Whether the orders have been read; until then no release may be treated as stable. */
  get ready(): boolean {
    return this.#hasListed;
  }

  /** Sets the callback for possible changes of an order or its state. */
  onChange(listener: () => void): void {
    this.#onChange = listener;
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.#stopped = true;
    this.follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    this.#hasListed = true;
    const names = new Set(objects.map(({ name }) => name));
    for (const object of objects) this.changed(object);
    for (const name of [...this.#services.keys()]) {
      if (!names.has(name)) this.#removeOrder(name);
    }
  }

  changed(object: StoredObject): void {
    this.#apply(object, this.follower.position?.era ?? UNREPORTED_ERA);
  }

  /** The store has an earlier state of an order, which may lack the decision on it. */
  outdated(object: StoredObject): void {
    const order = this.#decode(object);
    if (order !== undefined) this.#rewriteIfLost(order);
  }

  deleted(object: StoredObject): void {
    this.#removeOrder(object.name);
  }

  /**
   * Writes the state of a roll-out, unless the roll-out is already decided or its order has
   * changed. Returns whether the state was written.
   */
  async writeState(order: RollOutOrder, state: RollOutState): Promise<boolean> {
    const { objectStore, storeEraMonitor, logger } = this.#deps;
    const name = this.#objectNameOf(order.service);
    if (name === undefined) return false;
    const key = { kind: ROLL_OUT_KIND, name };
    const call = { timeoutMs: WRITE_TIMEOUT_MS };
    const read = await objectStore.get(key, call);
    if (!read.ok || read.value.era < storeEraMonitor.era) return false;
    const { era, revision } = read.value;
    // A held order is older than the one in force here, and must not replace it.
    if (!this.follower.isHeld(name)) this.#apply(read.value, era);
    const stored = this.#decode(read.value);
    if (stored === undefined || !canWriteState(stored, { order, state })) {
      return false;
    }
    const written = await objectStore.replaceStatus(key, {
      ...call,
      status: encodeRollOutStatus(order.release, state),
      revision,
    });
    if (written.ok) {
      if (written.value.era !== era) this.#logReusedRevision(order, revision);
      this.#apply(written.value, written.value.era);
      return true;
    }
    logger.info("Could not write the state of a roll-out", {
      service: order.service,
      state,
      reason: describeStoreError(written.error),
    });
    return false;
  }

  #apply(object: StoredObject, era: number): void {
    const order = this.#decode(object);
    if (order === undefined) return;
    const known = this.#decided.record(order, era);
    this.#setOrder(object.name, known);
    if (known !== order) this.#rewriteIfLost(order);
  }

  #decode(object: StoredObject): RollOutOrder | undefined {
    const decoded = decodeRollOut(object.name, object);
    if (decoded.ok) return decoded.value;
    this.#deps.logger.warn("Roll-out order could not be decoded", {
      reason: describeDecodeError(decoded.error),
    });
    return undefined;
  }

  #rewriteIfLost(order: RollOutOrder): void {
    if (this.#lostDecision(order) === undefined) return;
    if (this.#rewriting.has(order.service)) return;
    void this.#rewriteDecision(order);
  }

  #lostDecision(order: RollOutOrder): RollOutState | undefined {
    return this.#decided.lostDecision(order, this.#deps.storeEraMonitor.era);
  }

  /** Writes a lost decision again, until this or another VM has done so. */
  async #rewriteDecision(order: RollOutOrder): Promise<void> {
    const { logger, chance } = this.#deps;
    const { service, release } = order;
    this.#rewriting.add(service);
    await pause(REWRITE_SPREAD_MS * chance());
    for (;;) {
      const state = this.#lostDecision(order);
      if (state === undefined || this.#stopped) break;
      const written = this.follower.readsStore &&
        await this.writeState(order, state);
      if (written) {
        logger.warn("Lost decision on a roll-out was written again", {
          service,
          release,
          state,
        });
      }
      await pause(REWRITE_RETRY_DELAY_MS);
    }
    this.#rewriting.delete(service);
  }

  /** The write may have met another state of the object than the one that was read. */
  #logReusedRevision(
    { service, release }: RollOutOrder,
    revision: number,
  ): void {
    this.#deps.logger.warn("State of a roll-out was written across a restore", {
      service,
      release,
      revision,
    });
  }

  #objectNameOf(service: ServiceId): string | undefined {
    return [...this.#services].find(([, other]) => other === service)?.[0];
  }

  #setOrder(name: string, order: RollOutOrder): void {
    const { releaseGate, logger } = this.#deps;
    const prior = releaseGate.order(order.service);
    this.#services.set(name, order.service);
    releaseGate.setOrder(order);
    this.#onChange();
    if (prior?.release === order.release && prior.state === order.state) return;
    logger.info("Roll-out changed", {
      service: order.service,
      release: order.release,
      state: order.state ?? "ordered",
      limit_ms: order.limitMs,
    });
  }

  #removeOrder(name: string): void {
    const service = this.#services.get(name);
    this.#services.delete(name);
    if (service !== undefined) {
      this.#deps.releaseGate.removeOrder(service);
      this.#decided.remove(service);
    }
    this.#onChange();
  }
}

/** The state of a decided roll-out is final, and a replaced order no longer reports a state. */
function canWriteState(
  current: RollOutOrder,
  { order, state }: { order: RollOutOrder; state: RollOutState },
): boolean {
  if (current.release !== order.release) return false;
  if (current.stateRelease !== current.release) return true;
  return current.state === "in_progress" && state !== "in_progress";
}
