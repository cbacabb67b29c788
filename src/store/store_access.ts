/** How a VM comes to know what the platform's store holds. */

/**
 * A reader asks the store for others too; a stand-in asks it since no reader is heard; a
 * listener waits for what other VMs tell.
 */
export type StoreAccess = "reader" | "stand_in" | "listener";

/** Pause of a reader after a failed call; spread, so that a fleet does not return as one. */
const RETRY_PAUSE_MS = 150;
const RETRY_SPREAD_MS = 200;
/**
 * Pause of a stand-in. In an outage all VMs become stand-ins, and each refused call is
 * paid; readers find out soon when the store is back, and tell.
 */
const STAND_IN_PAUSE_MS = 1_200;
const STAND_IN_SPREAD_MS = 800;

/** Time to wait after a failed call of the store, in milliseconds; `chance` is from 0 to 1. */
export function retryPauseMs(access: StoreAccess, chance: number): number {
  return access === "reader"
    ? RETRY_PAUSE_MS + RETRY_SPREAD_MS * chance
    : STAND_IN_PAUSE_MS + STAND_IN_SPREAD_MS * chance;
}

/** Whether a VM asks the store itself. */
export function asksStore(access: StoreAccess): boolean {
  return access !== "listener";
}
