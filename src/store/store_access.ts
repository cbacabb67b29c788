/** How a VM learns what the platform's store holds. */

/**
 * A reader reads the store for other VMs too; a stand-in reads it because it gets no
 * updates from a reader; a listener waits for updates from other VMs.
 */
export type StoreAccess = "reader" | "stand_in" | "listener";

/** Delay of a reader after a failed call; the jitter keeps VMs from retrying in lockstep. */
const READER_RETRY_DELAY_MS = 150;
const READER_RETRY_JITTER_MS = 200;
/**
 * Delay of a stand-in. In an outage all VMs become stand-ins, and each refused call is billed.
 * Readers detect soon that the store is reachable again and notify the others.
 */
const STAND_IN_RETRY_DELAY_MS = 1_200;
const STAND_IN_RETRY_JITTER_MS = 800;

/** Delay after a failed call of the store, in milliseconds; `random` is from 0 to 1. */
export function retryDelayMs(access: StoreAccess, random: number): number {
  return access === "reader"
    ? READER_RETRY_DELAY_MS + READER_RETRY_JITTER_MS * random
    : STAND_IN_RETRY_DELAY_MS + STAND_IN_RETRY_JITTER_MS * random;
}

/** Whether a VM with this access reads the store itself. */
export function readsStore(access: StoreAccess): boolean {
  return access !== "listener";
}
