/** Remembers decisions on roll-outs, which a store that is restored from a copy may lack. */

import type { ReleaseId, ServiceId } from "../ids.ts";
import type { RollOutOrder, RollOutState } from "../servers/roll_out_order.ts";

interface Decision {
  readonly release: ReleaseId;
  readonly state: RollOutState;
  /** Era of the store in which the decision was last seen. */
  readonly era: number;
}

/** Last decision on the roll-outs of each service. */
export class DecidedRollOuts {
  readonly #decisions = new Map<ServiceId, Decision>();

  /**
   * Records an order as the store shows it in an era. Returns it with the decision of an earlier era
   * if the store has lost that: servers may have been stopped on it, so it is never made anew.
   */
  record(order: RollOutOrder, era: number): RollOutOrder {
    const { service, release } = order;
    if (isDecided(order) && order.state !== undefined) {
      this.#decisions.set(service, { release, state: order.state, era });
      return order;
    }
    const lost = this.lostDecision(order, era);
    if (lost === undefined) {
      this.#decisions.delete(service);
      return order;
    }
    return { ...order, state: lost, stateRelease: release };
  }

  /** Decision on an order that was seen in an earlier era than the given one, and not since. */
  lostDecision(
    { service, release }: Pick<RollOutOrder, "service" | "release">,
    era: number,
  ): RollOutState | undefined {
    const decision = this.#decisions.get(service);
    const isLost = decision?.release === release && decision.era < era;
    return isLost ? decision.state : undefined;
  }

  /** Forgets the decision on the roll-outs of a service. */
  remove(service: ServiceId): void {
    this.#decisions.delete(service);
  }
}

/** Whether a roll-out is completed or rolled back. */
export function isDecided(order: RollOutOrder): boolean {
  if (order.stateRelease !== order.release) return false;
  return order.state === "completed" || order.state === "rolled_back";
}
