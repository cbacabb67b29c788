/** What VMs tell each other of the store, so that few of them have to ask it. */

import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { KindUpdate, StoreUpdate } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { EvacuationFollower } from "./evacuation_follower.ts";
import type { KindFollower } from "./kind_follower.ts";
import type { MissedChangeDetector } from "./missed_change_detector.ts";
import type { RollOutFollower } from "./roll_out_follower.ts";
import type { RoutingFollower } from "./routing_follower.ts";
import type { ServerFollower } from "./server_follower.ts";
import { asksStore, type StoreAccess } from "./store_access.ts";
import type { StoreHealthKeeper } from "./store_health.ts";
import type { TrialFollower } from "./trial_follower.ts";

interface Deps {
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: ServerFollower;
  readonly rollOutFollower: RollOutFollower;
  readonly trialFollower: TrialFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly missedChangeDetector: MissedChangeDetector;
  readonly releaseGate: ReleaseGate;
  readonly storeHealth: StoreHealthKeeper;
  readonly clock: Clock;
}

/** All kinds that a gateway follows, as one. */
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
      deps.trialFollower.follower,
      ...(deps.evacuationFollower.followed
        ? [deps.evacuationFollower.follower]
        : []),
    ];
    deps.missedChangeDetector.setFollowers(this.#followers);
    deps.rollOutFollower.onChange(() => this.#accessTrials());
    this.#accessTrials();
  }

  /** How this VM comes to know what the store holds. */
  get access(): StoreAccess {
    return this.#access;
  }

  /** Begins or ends to ask the store itself. */
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
    this.#accessTrials();
  }

  /** Trials change only while a roll-out is under way; to follow them otherwise costs calls. */
  #accessTrials(): void {
    const { trialFollower, releaseGate } = this.#deps;
    const isOpen = releaseGate.activeOrders().length > 0;
    trialFollower.follower.setAccess(isOpen ? this.#access : "listener");
  }

  /** Whether the store answers this VM, or those answer that read it for others. */
  get inTouch(): boolean {
    return !asksStore(this.#access) || this.#deps.storeHealth.health.reachable;
  }

  /** Whether the store did not answer the last call of this VM. */
  get storeLost(): boolean {
    return this.#deps.storeHealth.lostHere;
  }

  /** Sets what is called when objects have changed, an own read has confirmed them, or the store is lost. */
  onNews(listener: () => void): void {
    this.#deps.routingFollower.onConfirmed(listener);
    this.#deps.storeHealth.onLost(listener);
    for (const follower of this.#followers) follower.onNews(listener);
  }

  /** Up to which revision each kind is known here. */
  known(): StoreUpdate["known"] {
    return this.#followers.flatMap(({ kind, revision }) =>
      revision === undefined ? [] : [{ kind, revision }]
    );
  }

  /** What a VM should hear that knows so much; `undefined` tells no changes. */
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

  /** Takes in what a VM has told; returns whether it is in touch with the store. */
  hear({ inTouch, backAgeMs, changes }: StoreUpdate): boolean {
    // Why entries are missing is learnt before which are.
    if (inTouch && !asksStore(this.#access)) {
      this.#deps.storeHealth.heard(backAgeMs);
    }
    for (const change of changes) {
      this.#followers.find(({ kind }) => kind === change.kind)?.hear(change);
    }
    return inTouch;
  }

  #changesSince(known: StoreUpdate["known"]): KindUpdate[] {
    return this.#followers.flatMap((follower) => {
      const at = known.find(({ kind }) => kind === follower.kind);
      const changes = follower.changesSince(at?.revision);
      return changes === undefined ? [] : [changes];
    });
  }
}
