/** Keeps the latest routing configuration and the time of its last confirmation. */

import type { RouteTable } from "../core/routes/route_table.ts";
import {
  describeStoreError,
  NO_CONTENT,
  type ObjectStore,
  type StoredObject,
  type StoreListing,
} from "../platform/object_store.ts";
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
} from "../platform/routing_wire.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { ConfigurationInForce } from "./configuration_in_force.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import { readsStore, retryDelayMs, type StoreAccess } from "./store_access.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";

/**
 * Confirming reads within the time that a change may take to be in force. The watch normally
 * delivers changes immediately; the reads cover a watch that is stalled.
 */
const CONFIRMATIONS_PER_APPLY = 1.3;
/** Confirming reads within the time after which a removed key must be refused. */
const CONFIRMATIONS_PER_KEY_REMOVAL = 3;
/**
 * Fraction of the allowed key removal time after which a VM that follows other VMs reads the store
 * itself. Below the 0.8 at which keys are refused; above the third at which readers confirm, plus
 * the 0.8 s that an update takes to reach a follower.
 */
const OWN_READ_FACTOR = 0.6;
/**
 * Time allowed for the first list before the configuration is read separately: lists are slower
 * when many VMs start together.
 */
const FIRST_LIST_TIMEOUT_MS = 1_000;
/** Time-out of a confirming read; the store usually answers in milliseconds. */
const CONFIRM_TIMEOUT_MS = 1_000;
/**
 * Minimum time between two reads that a later version at another VM causes. That VM may hold a
 * version that a restored store lacks, so that no read finds it.
 */
const MIN_READ_INTERVAL_MS = 300;
/** Random reduction of the interval, as a fraction, so that VMs do not read in lockstep. */
const INTERVAL_JITTER = 0.2;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthMonitor;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly seenRevisions: SeenRevisions;
  readonly missedChangeDetector: MissedChangeDetector;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  /** Clock for the age of confirmations, which must include time for which the VM was suspended. */
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Follows the configuration by a watch and confirms it by reads that cannot be stale. */
export class RoutingFollower implements KindListener {
  readonly #deps: Deps;
  /** Follower of the kind, whose changes are exchanged with other VMs. */
  readonly follower: KindFollower;
  readonly #inForce: ConfigurationInForce;
  #readStartedMs = -Infinity;
  #confirmedAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #reading = false;
  #access: StoreAccess = "reader";
  #onConfirmed: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#inForce = new ConfigurationInForce(deps.logger);
    this.follower = new KindFollower(deps, {
      kind: CONFIGURATION_KIND,
      // The store itself checks configurations, which are kept as they are.
      normalize: (object) =>
        object.name === CONFIGURATION_NAME ? object : NO_CONTENT,
      listener: this,
      timestampMs: () => deps.suspendAwareClock.nowMs(),
    });
  }

  /** Configuration in force; undefined until the first has been read. */
  get table(): RouteTable | undefined {
    return this.#inForce.table;
  }

  /** Time since the start of the last read that showed that no later configuration exists. */
  confirmedAgeMs(): number {
    return this.#deps.suspendAwareClock.nowMs() - this.#confirmedAtMs;
  }

  /** Registers a listener for new configurations in force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#inForce.onChange(listener);
  }

  /** Sets the callback for confirmations by reads of this VM. */
  onConfirmed(listener: () => void): void {
    this.#onConfirmed = listener;
  }

  /** Version in force and the age of its confirmation, for other VMs. */
  get confirmation(): { readonly version: number; readonly ageMs: number } {
    return { version: this.table?.version ?? 0, ageMs: this.confirmedAgeMs() };
  }

  /**
   * Receives a confirmation by another VM: `atMs` is no later than the start of its read, by the
   * suspend-aware clock. A version later than the one in force here triggers a read of the store.
   */
  receiveConfirmation(
    { version, atMs }: { version: number; atMs: number },
  ): void {
    const ownVersion = this.table?.version;
    if (ownVersion === undefined || this.#stopped) return;
    if (version === ownVersion) {
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
    } else if (version > ownVersion && !this.#reading) {
      const sinceReadMs = this.#deps.clock.monotonicMs() - this.#readStartedMs;
      if (sinceReadMs < MIN_READ_INTERVAL_MS) return;
      clearTimeout(this.#timer);
      void this.#confirm();
    }
  }

  /**
   * Spec of the configuration in force, if a restored store has not shown it again and a VM with
   * the given version lacks it.
   */
  unstoredSpec(theirVersion: number | undefined): unknown {
    const { era } = this.#deps.storeEraMonitor;
    return this.#inForce.unstoredSpec({ era, theirVersion });
  }

  /** Applies the configuration of another VM, which a restored store lacks. */
  receive(spec: unknown): void {
    this.#inForce.apply(spec);
  }

  start(): void {
    this.follower.start();
    this.#awaitFirstList();
  }

  /** Sets whether the configuration is confirmed by reads of this VM or by those of other VMs. */
  setAccess(access: StoreAccess): void {
    const readBefore = readsStore(this.#access);
    this.#access = access;
    this.follower.setAccess(access);
    const startsReading = readsStore(access) && !readBefore;
    if (!startsReading || this.#reading || this.#stopped) return;
    clearTimeout(this.#timer);
    if (this.table === undefined) this.#awaitFirstList();
    else void this.#confirmIfDue();
  }

  /** Delays the first confirming read: a first list that arrives in time confirms too. */
  #awaitFirstList(): void {
    this.#timer = setTimeout(
      () => void this.#confirmIfDue(),
      FIRST_LIST_TIMEOUT_MS,
    );
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    for (const object of objects) this.changed(object);
  }

  changed(object: StoredObject): void {
    if (object.name !== CONFIGURATION_NAME) return;
    this.#inForce.apply(object.spec, this.follower.position?.era);
  }

  refreshed(listing: StoreListing, startedMs: number): void {
    if (!this.#inForce.applyRead(listing)) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, startedMs);
  }

  deleted(object: StoredObject): void {
    // The last configuration stays in force: operators replace it but never delete it.
    this.#deps.logger.warn(
      "Configuration object was deleted; keeping the last configuration",
      {
        object: object.name,
      },
    );
  }

  /** Reads the configuration, unless it has been confirmed by another VM in the meantime. */
  async #confirmIfDue(): Promise<void> {
    const dueInMs = this.#intervalMs() - this.confirmedAgeMs();
    const { health, lastCallFailed: lostHere } = this.#deps.storeHealth;
    const isUnreachable = readsStore(this.#access) && !health.reachable;
    // A VM whose last call failed must call again to detect that the store answers it.
    if (dueInMs <= 0 || isUnreachable || lostHere) {
      await this.#confirm();
      return;
    }
    this.#timer = setTimeout(() => void this.#confirmIfDue(), dueInMs);
  }

  async #confirm(): Promise<void> {
    const { objectStore, storeHealth, clock, suspendAwareClock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const timestampMs = suspendAwareClock.nowMs();
    this.#reading = true;
    this.#readStartedMs = startedMs;
    // A list costs as much as a read of its single object and also returns the store's revision.
    const read = await objectStore.list(CONFIGURATION_KIND, {
      timeoutMs: CONFIRM_TIMEOUT_MS,
    });
    this.#reading = false;
    if (this.#stopped) return;
    if (read.ok) {
      storeHealth.recordSuccess();
      if (this.#inForce.applyRead(read.value)) {
        this.#recordConfirmation(timestampMs);
      }
      void this.#deps.missedChangeDetector.check(read.value);
    } else {
      storeHealth.recordFailure(describeStoreError(read.error));
    }
    const waitMs = read.ok ? this.#intervalMs() : this.#nextRetryDelayMs();
    const elapsedMs = clock.monotonicMs() - startedMs;
    this.#timer = setTimeout(
      () => void this.#confirmIfDue(),
      Math.max(0, waitMs - elapsedMs),
    );
  }

  #recordConfirmation(startedMs: number): void {
    // Another VM may have confirmed the configuration while the read was under way.
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, startedMs);
    this.#onConfirmed();
  }

  #intervalMs(): number {
    const { bounds, chance } = this.#deps;
    if (!readsStore(this.#access)) return OWN_READ_FACTOR * bounds.keyRemovalMs;
    const shortestMs = Math.min(
      bounds.configurationApplyMs / CONFIRMATIONS_PER_APPLY,
      bounds.keyRemovalMs / CONFIRMATIONS_PER_KEY_REMOVAL,
    );
    return shortestMs * (1 - INTERVAL_JITTER * chance());
  }

  #nextRetryDelayMs(): number {
    return retryDelayMs(this.#access, this.#deps.chance());
  }
}
