/** Keeps the newest routing configuration, and how lately it was confirmed. */

import { configurationChange } from "../core/routes/configuration_change.ts";
import type { RoutingConfiguration } from "../core/routes/route.ts";
import { RouteTable } from "../core/routes/route_table.ts";
import { describeDecodeError } from "../platform/decode_error.ts";
import {
  describeStoreError,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
  decodeConfiguration,
} from "../platform/routing_wire.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LogContext, Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { KindFollower } from "./kind_follower.ts";
import type { KindListener } from "./kind_listener.ts";
import { asksStore, retryPauseMs, type StoreAccess } from "./store_access.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import type { SeenRevisions } from "./seen_revisions.ts";
import type { StoreHealthKeeper } from "./store_health.ts";

/**
 * Confirmations in the time that a change may take to be in force. The watch tells of
 * changes at once; reads are for a watch that hears nothing.
 */
const CONFIRMATIONS_PER_APPLY = 1.3;
/** Confirmations in the time after which a removed key must open nothing. */
const CONFIRMATIONS_PER_KEY_REMOVAL = 3;
/**
 * Part of the time allowed for the removal of keys after which a VM that learns from
 * others asks the store itself. Less than the 0.8 after which keys are refused; more than
 * the third after which readers confirm, with the 0.8 s that news take to a follower.
 */
const OWN_READ_AFTER = 0.6;
/**
 * Time that the first list has before the configuration is read by itself: lists come later
 * where many VMs start together.
 */
const FIRST_READ_MS = 1_000;
/** Longest wait for a confirmation; the store usually answers in milliseconds. */
const CONFIRM_TIMEOUT_MS = 1_000;
/** Intervals differ by so much between VMs, so that their reads do not come as one. */
const INTERVAL_SPREAD = 0.2;

interface Deps {
  readonly objectStore: ObjectStore;
  readonly storeHealth: StoreHealthKeeper;
  readonly seenRevisions: SeenRevisions;
  readonly missedChangeDetector: MissedChangeDetector;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  /** By which confirmations are dated: they bind a VM also after it was suspended. */
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
  readonly chance: () => number;
}

/** Follows the configuration by a watch, and confirms it by reads that cannot be stale. */
export class RoutingFollower implements KindListener {
  readonly #deps: Deps;
  /** Its copy of the kind, to exchange with other VMs. */
  readonly follower: KindFollower;
  #table: RouteTable | undefined;
  #confirmedAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #reading = false;
  /** Whether the newest configuration that was read could be decoded. */
  #decoded = true;
  #access: StoreAccess = "reader";
  readonly #listeners: ((table: RouteTable) => void)[] = [];
  #onConfirmed: () => void = () => {};

  constructor(deps: Deps) {
    this.#deps = deps;
    this.follower = new KindFollower(deps, {
      kind: CONFIGURATION_KIND,
      listener: this,
      dateMs: () => deps.suspendAwareClock.nowMs(),
    });
  }

  /** Configuration in force; undefined until the first has been read. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Milliseconds since a read showed that no later configuration was accepted. */
  confirmedAgeMs(): number {
    return this.#deps.suspendAwareClock.nowMs() - this.#confirmedAtMs;
  }

  /** Registers a listener for configurations that come into force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }

  /** Sets what is called whenever an own read has confirmed the configuration. */
  onConfirmed(listener: () => void): void {
    this.#onConfirmed = listener;
  }

  /** Milliseconds since the confirmation and the version, as other VMs may use them. */
  get confirmation(): { readonly version: number; readonly ageMs: number } {
    return { version: this.#table?.version ?? 0, ageMs: this.confirmedAgeMs() };
  }

  /**
   * Takes in what another VM has confirmed: `atMs` is when its read began, or earlier, by the
   * clock for ages.
   * A later version there is read from the store at once.
   */
  hearConfirmation(
    { version, atMs }: { version: number; atMs: number },
  ): void {
    const own = this.#table?.version;
    if (own === undefined || this.#stopped) return;
    if (version === own) {
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
    } else if (version > own && !this.#reading) {
      clearTimeout(this.#timer);
      void this.#confirm();
    }
  }

  /** Starts to follow. */
  start(): void {
    this.follower.start();
    this.#awaitFirstList();
  }

  /** Whether to confirm by own reads, rather than by those of other VMs. */
  setAccess(access: StoreAccess): void {
    const asked = asksStore(this.#access);
    this.#access = access;
    this.follower.setAccess(access);
    const asksNow = asksStore(access) && !asked;
    if (!asksNow || this.#reading || this.#stopped) return;
    clearTimeout(this.#timer);
    if (this.#table === undefined) this.#awaitFirstList();
    else void this.#confirmIfDue();
  }

  /** The first list confirms as well, where it comes in time. */
  #awaitFirstList(): void {
    this.#timer = setTimeout(() => void this.#confirmIfDue(), FIRST_READ_MS);
  }

  /** Stops to follow. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.follower.stop();
  }

  listed(objects: readonly StoredObject[]): void {
    for (const object of objects) this.changed(object);
  }

  changed(object: StoredObject): void {
    if (object.name === CONFIGURATION_NAME) this.#apply(object);
  }

  read(startedMs: number): void {
    // What was read may withdraw a key, also where it can't be decoded here.
    if (this.#table === undefined || !this.#decoded) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, startedMs);
  }

  deleted(object: StoredObject): void {
    // The last configuration stays in force: operators replace it, never remove it.
    this.#deps.logger.warn("Configuration was deleted; the last one stays", {
      object: object.name,
    });
  }

  /** Reads, unless another VM has confirmed the configuration meanwhile. */
  async #confirmIfDue(): Promise<void> {
    const dueInMs = this.#intervalMs() - this.confirmedAgeMs();
    const { health, lostHere } = this.#deps.storeHealth;
    const lost = asksStore(this.#access) && !health.reachable;
    // A VM that was turned away finds out by itself when it is served again.
    if (dueInMs <= 0 || lost || lostHere) {
      await this.#confirm();
      return;
    }
    this.#timer = setTimeout(() => void this.#confirmIfDue(), dueInMs);
  }

  async #confirm(): Promise<void> {
    const { objectStore, storeHealth, clock, suspendAwareClock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const datedMs = suspendAwareClock.nowMs();
    this.#reading = true;
    // A list costs as much as a read of its one object, and tells the store's revision.
    const read = await objectStore.list(CONFIGURATION_KIND, {
      timeoutMs: CONFIRM_TIMEOUT_MS,
    });
    this.#reading = false;
    if (this.#stopped) return;
    if (read.ok) {
      storeHealth.answered();
      const { objects, revision } = read.value;
      const current = objects.find(({ name }) => name === CONFIGURATION_NAME);
      if (current !== undefined && this.#apply(current)) {
        this.#confirmedBy(datedMs);
      }
      void this.#deps.missedChangeDetector.check(revision);
    } else {
      storeHealth.failed(describeStoreError(read.error));
    }
    const waitMs = read.ok ? this.#intervalMs() : this.#retryMs();
    const tookMs = clock.monotonicMs() - startedMs;
    this.#timer = setTimeout(
      () => void this.#confirmIfDue(),
      Math.max(0, waitMs - tookMs),
    );
  }

  #confirmedBy(startedMs: number): void {
    this.#confirmedAtMs = startedMs;
    this.#onConfirmed();
  }

  #intervalMs(): number {
    const { bounds, chance } = this.#deps;
    if (!asksStore(this.#access)) return OWN_READ_AFTER * bounds.keyRemovalMs;
    const shortest = Math.min(
      bounds.configurationApplyMs / CONFIRMATIONS_PER_APPLY,
      bounds.keyRemovalMs / CONFIRMATIONS_PER_KEY_REMOVAL,
    );
    return shortest * (1 - INTERVAL_SPREAD * chance());
  }

  #retryMs(): number {
    return retryPauseMs(this.#access, this.#deps.chance());
  }

  /** Returns whether the configuration in force is at least as new as the object. */
  #apply(object: StoredObject): boolean {
    const { logger } = this.#deps;
    const decoded = decodeConfiguration(object.spec);
    this.#decoded = decoded.ok;
    if (!decoded.ok) {
      logger.warn("Configuration is not understood; the last one stays", {
        reason: describeDecodeError(decoded.error),
      });
      return false;
    }
    const configuration = decoded.value;
    const before = this.#table?.configuration;
    if (before !== undefined && configuration.version <= before.version) {
      return true;
    }
    this.#table = new RouteTable(configuration);
    for (const listener of this.#listeners) listener(this.#table);
    logger.info("Configuration is in force", {
      version: configuration.version,
      before: before?.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length,
      ...(before === undefined ? {} : changeContext(before, configuration)),
    });
    return true;
  }
}

function changeContext(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): LogContext {
  const change = configurationChange(before, after);
  return {
    keys_added: change.keysAdded,
    keys_withdrawn: change.keysWithdrawn,
    routes_added: change.routesAdded,
    routes_removed: change.routesRemoved,
    routes_changed: change.routesChanged,
    changed: change.changed,
  };
}
