/** Readiness of this VM to serve callers. */

import type { EvacuationFollower } from "../store/evacuation_follower.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { RollOutFollower } from "../store/roll_out_follower.ts";
import type { StopState } from "./stop_state.ts";

interface Deps {
  readonly routingFollower: RoutingFollower;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly stopState: StopState;
}

/** Combines the conditions under which a VM can serve requests. */
export class Readiness {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether the data needed for routing is loaded and the VM is not shutting down. */
  isReady(): boolean {
    const { routingFollower, rollOutFollower, evacuationFollower, stopState } =
      this.#deps;
    return routingFollower.table !== undefined && rollOutFollower.ready &&
      evacuationFollower.ready && !stopState.stopping;
  }
}
