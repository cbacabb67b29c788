/** Exchanges the contents of the store between VMs, so that only a few of them read it. */

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
  readonly storeHealth: StoreHealthMonitor;
  readonly clock: Clock;
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

  /** Revision of each kind up to which its cache is complete. */
  known(): StoreUpdate["known"] {
    return this.#followers.flatMap(({ kind, revision }) =>
      revision === undefined ? [] : [{ kind, revision }]
    );
  }

  /** State of the store for a VM with these revisions; no changes if they are `undefined`. */
  tell(known: StoreUpdate["known"] | undefined): StoreUpdate {
    const { storeHealth, clock } = this.#deps;
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
      changes: known === undefined ? [] : this.#changesSince(known),
    };
  }

  /** Applies an update from another VM; returns whether that VM is in touch with the store. */
  hear({ inTouch, backAgeMs, changes }: StoreUpdate): boolean {
    // The recovery time must be recorded before the changes, as it explains missing entries.
    if (inTouch && !readsStore(this.#access)) {
      this.#deps.storeHealth.recordPeerReport(backAgeMs);
    }
    for (const change of changes) {
      this.#followers.find(({ kind }) => kind === change.kind)?.receive(change);
    }
    return inTouch;
  }

  #changesSince(known: StoreUpdate["known"]): KindUpdate[] {
    return this.#followers.flatMap((follower) => {
      const entry = known.find(({ kind }) => kind === follower.kind);
      const changes = follower.changesSince(entry?.revision);
      return changes === undefined ? [] : [changes];
    });
  }
}
