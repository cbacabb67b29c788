/** Exchanges the contents of the store between VMs, so that only a few of them read it. */

import {
  isLaterPosition,
  type StorePosition,
  UNREPORTED_ERA,
} from "../platform/object_store.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { KindUpdate, StoreUpdate } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { EvacuationFollower } from "./evacuation_follower.ts";
import type { KindFollower } from "./kind_follower.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import type { RollOutFollower } from "./roll_out_follower.ts";
import type { RoutingFollower } from "./routing_follower.ts";
import type { ServerFollower } from "./server_follower.ts";
import { readsStore, type StoreAccess } from "./store_access.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { StoreHealthMonitor } from "./store_health_monitor.ts";
import type { CanaryFollower } from "./canary_follower.ts";

interface Deps {
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: ServerFollower;
  readonly rollOutFollower: RollOutFollower;
  readonly canaryFollower: CanaryFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly missedChangeDetector: MissedChangeDetector;
  readonly releaseGate: ReleaseGate;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly storeHealth: StoreHealthMonitor;
  readonly clock: Clock;
}

/** What another VM knows of the store. */
export interface VmStoreState {
  readonly known: StoreUpdate["known"];
  /** Version of the configuration in force there; undefined if that VM does not tell it. */
  readonly configurationVersion: number | undefined;
}

/** Synchronizes all kinds that a gateway follows. */
export class StoreSync {
  readonly #deps: Deps;
  readonly #followers: readonly KindFollower[];
  #access: StoreAccess = "reader";

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#followers = [
      deps.routingFollower.follower,
      deps.serverFollower.follower,
      deps.rollOutFollower.follower,
      deps.canaryFollower.follower,
      ...(deps.evacuationFollower.isEnabled
        ? [deps.evacuationFollower.follower]
        : []),
    ];
    deps.missedChangeDetector.setFollowers(this.#followers);
    deps.rollOutFollower.onChange(() => this.#updateCanaryAccess());
    this.#updateCanaryAccess();
  }

  /** How this VM learns what the store holds. */
  get access(): StoreAccess {
    return this.#access;
  }

  /** Sets whether this VM reads the store or waits for updates from other VMs. */
  setAccess(access: StoreAccess): void {
    this.#access = access;
    const {
      routingFollower,
      serverFollower,
      rollOutFollower,
      evacuationFollower,
    } = this.#deps;
    routingFollower.setAccess(access);
    serverFollower.follower.setAccess(access);
    rollOutFollower.follower.setAccess(access);
    evacuationFollower.follower.setAccess(access);
    this.#updateCanaryAccess();
  }

  /** Canaries change only during a roll-out; reading them at other times costs billed calls. */
  #updateCanaryAccess(): void {
    const { canaryFollower, releaseGate } = this.#deps;
    const isActive = releaseGate.activeOrders().length > 0;
    canaryFollower.follower.setAccess(isActive ? this.#access : "listener");
  }

  /** Whether the store is reachable from this VM, or this VM relies on others to read it. */
  get inTouch(): boolean {
    return !readsStore(this.#access) ||
      this.#deps.storeHealth.health.reachable;
  }

  /** Whether the last call of the store by this VM failed. */
  get storeLost(): boolean {
    return this.#deps.storeHealth.lastCallFailed;
  }

  /** Sets the callback for changed objects, confirming reads and an unreachable store. */
  onUpdate(listener: () => void): void {
    this.#deps.routingFollower.onConfirmed(listener);
    this.#deps.storeHealth.onUnreachable(listener);
    for (const follower of this.#followers) follower.onUpdate(listener);
  }

  /** Position of each kind up to which its replica is complete. */
  known(): StoreUpdate["known"] {
    return this.#followers.flatMap(({ kind, position }) =>
      position === undefined ? [] : [{ kind, ...position }]
    );
  }

  /** Whether this VM knows changes, or a configuration, that a VM with this state lacks. */
  isNewerThan({ known, configurationVersion }: VmStoreState): boolean {
    const { routingFollower } = this.#deps;
    return this.#followers.some((follower) => {
      const theirs = this.#positionIn(known, follower);
      const { position } = follower;
      return position !== undefined &&
        (theirs === undefined || isLaterPosition(position, theirs));
    }) || routingFollower.unstoredSpec(configurationVersion) !== undefined;
  }

  /** State of the store for another VM; no changes if that VM's state is `undefined`. */
  tell(theirs: VmStoreState | undefined): StoreUpdate {
    const { storeHealth, routingFollower, clock } = this.#deps;
    const { recoveredAtMs } = storeHealth.health;
    const nowMs = clock.monotonicMs();
    return {
      reads: this.#access === "reader" && this.inTouch,
      lost: this.storeLost,
      inTouch: this.inTouch,
      backAgeMs: recoveredAtMs === undefined
        ? undefined
        : nowMs - recoveredAtMs,
      known: this.known(),
      changes: theirs === undefined ? [] : this.#changesSince(theirs.known),
      configuration: theirs === undefined
        ? undefined
        : routingFollower.unstoredSpec(theirs.configurationVersion),
    };
  }

  /** Applies an update from another VM; returns whether that VM is in touch with the store. */
  hear(
    { inTouch, backAgeMs, changes, known, configuration }: StoreUpdate,
  ): boolean {
    const { storeEraMonitor, storeHealth, routingFollower } = this.#deps;
    // The restore and the recovery must be recorded before the changes, as they explain missing
    // entries.
    for (const { era = UNREPORTED_ERA } of known) {
      storeEraMonitor.record(era, "vm");
    }
    if (inTouch && !readsStore(this.#access)) {
      storeHealth.recordPeerReport(backAgeMs);
    }
    if (configuration !== undefined) routingFollower.receive(configuration);
    for (const change of changes) this.#receive(change);
    return inTouch;
  }

  #receive(change: KindUpdate): void {
    const follower = this.#followers.find(({ kind }) => kind === change.kind);
    const { era } = change;
    // Without an era, revisions may be those of before a restore.
    if (era === undefined && this.#deps.storeEraMonitor.restores > 0) return;
    follower?.receive({
      ...change,
      era: era ?? follower.position?.era ?? UNREPORTED_ERA,
    });
  }

  #changesSince(known: StoreUpdate["known"]): KindUpdate[] {
    return this.#followers.flatMap((follower) => {
      const changes = follower.changesSince(this.#positionIn(known, follower));
      return changes === undefined ? [] : [changes];
    });
  }

  #positionIn(
    known: StoreUpdate["known"],
    { kind, position }: KindFollower,
  ): StorePosition | undefined {
    const entry = known.find((candidate) => candidate.kind === kind);
    if (entry === undefined) return undefined;
    const { era = position?.era ?? UNREPORTED_ERA, revision } = entry;
    return { era, revision };
  }
}
