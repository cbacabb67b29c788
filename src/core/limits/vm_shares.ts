/** Divides the memory and the descriptors of a VM between what clients can make it hold. */

const BYTES_PER_MB = 1_000_000;
/** Descriptors of a process that are not for sockets. */
export const FILE_DESCRIPTORS = 200;
/** Memory of the program itself under load: its code, its heap and its connections. */
const PROGRAM_MB = 120;
/** Share of the memory that clients can make a VM hold. */
export const CLIENTS_SHARE = 0.6;
/** Sockets of a listener in any case, however few descriptors a VM has. */
const MIN_CONNECTIONS = 8;

/** What a VM has, from its settings. */
export interface VmSize {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** A limit of the gateway, as documented in the reference. */
export interface VmShare {
  /** Share of the memory, or of the descriptors for sockets. */
  readonly share: number;
  readonly of: "memory" | "sockets";
  readonly meaning: string;
}

/** All shares; what they leave is for the program itself, and for connections to servers, store and VMs. */
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
  peer_bodies: {
    share: 0.04,
    of: "memory",
    meaning: "Bodies of messages from other VMs",
  },
  responses: {
    share: 0.144,
    of: "memory",
    meaning:
      "Responses of servers while they are collected; beyond it the largest is dropped",
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
  other_bytes_ahead: {
    share: 0.01,
    of: "memory",
    meaning: "The same at each of the other listeners",
  },
  // A request under way may hold a connection to a server as well.
  caller_connections: {
    share: 0.35,
    of: "sockets",
    meaning:
      "Connections of callers; beyond it the one that has waited longest for its client is closed",
  },
  peer_connections: {
    share: 0.1,
    of: "sockets",
    meaning: "Connections of other VMs",
  },
  control_connections: {
    share: 0.04,
    of: "sockets",
    meaning:
      "Connections to each of the listeners for readiness, addresses and metrics",
  },
} as const satisfies Record<string, VmShare>;

/** Name of a share of the memory. */
export type MemoryShare = {
  [Name in keyof typeof VM_SHARES]: (typeof VM_SHARES)[Name]["of"] extends
    "memory" ? Name : never;
}[keyof typeof VM_SHARES];

/** Name of a share of the sockets. */
export type SocketShare = Exclude<keyof typeof VM_SHARES, MemoryShare>;

/** Returns a share of the memory, in bytes. */
export function memoryShare(
  { memoryMb }: Pick<VmSize, "memoryMb">,
  name: MemoryShare,
): number {
  return memoryMb * BYTES_PER_MB * VM_SHARES[name].share;
}

/** Returns whether the shares leave less memory than the program takes under load. */
export function isSmallVm({ memoryMb }: Pick<VmSize, "memoryMb">): boolean {
  return memoryMb * (1 - CLIENTS_SHARE) < PROGRAM_MB;
}

/** Returns a share of the sockets. */
export function socketShare(
  { descriptors }: Pick<VmSize, "descriptors">,
  name: SocketShare,
): number {
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  return Math.max(MIN_CONNECTIONS, Math.floor(sockets * VM_SHARES[name].share));
}
