/** Divides the memory of a VM between what clients can make it hold. */

const BYTES_PER_MB = 1_000_000;

/** What a VM has, from its settings. */
export interface VmSize {
  readonly memoryMb: number;
}

/** Shares; what they leave is for the program itself. */
export const VM_SHARES = {
  request_bodies: {
    share: 0.2,
    of: "memory",
    meaning: "Bodies of callers' requests; 503 beyond it",
  },
  small_request_bodies: {
    share: 0.05,
    of: "memory",
    meaning: "Bodies of up to 16 KiB while the others use up their share",
  },
  responses: {
    share: 0.144,
    of: "memory",
    meaning:
      "Responses of servers while they are collected; 512 KiB each in any case",
  },
  unread_responses: {
    share: 0.08,
    of: "memory",
    meaning:
      "Responses that callers have not read yet; beyond it the oldest is dropped and its connection closed",
  },
  bytes_ahead: {
    share: 0.04,
    of: "memory",
    meaning:
      "Incomplete heads of callers, and bytes sent while an earlier request on the connection is under way; beyond it the oldest such connection is closed",
  },
} as const;

/** Name of a share of the memory. */
export type MemoryShare = keyof typeof VM_SHARES;

/** Returns a share of the memory, in bytes. */
export function memoryShare(
  { memoryMb }: Pick<VmSize, "memoryMb">,
  name: MemoryShare,
): number {
  return memoryMb * BYTES_PER_MB * VM_SHARES[name].share;
}
