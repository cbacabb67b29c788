/** Whether callers should be sent to this VM. */

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

/** Joins what a VM needs in order to serve. */
export class Readiness {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether requests can be served here. */
  isReady(): boolean {
    const { routingFollower, rollOutFollower, evacuationFollower, stopState } =
      this.#deps;
    return routingFollower.table !== undefined && rollOutFollower.ready &&
      evacuationFollower.ready && !stopState.stopping;
  }
}
