/** Messages of the platform's object API, as this project's stand-in speaks it. */

import * as z from "zod";

/** One stored object. */
export const platformObjectSchema = z.object({
  key: z.string(),
  /** Grows with each write of the object, from 1. */
  version: z.int(),
  /** Content, as text. */
  value: z.string(),
});

/** One stored object. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

/** Answer to a write. */
export const platformWriteSchema = z.object({ version: z.int() });

/** Answer to a write whose condition did not hold. */
export const platformConflictSchema = z.object({
  /** Version that the object has; 0 when it does not exist. */
  current_version: z.int(),
});

/** Keys of stored objects. */
export const platformKeysSchema = z.object({ keys: z.array(z.string()) });

/** The lagging list of VMs. */
export const vmListSchema = z.object({
  vms: z.array(z.object({
    id: z.string(),
    kind: z.enum(["entry", "backend"]),
    state: z.enum(["live", "leaving"]),
    /** Address for other entry VMs, where the VM is one. */
    peers: z.string().optional(),
  })),
});

/** The lagging list of VMs. */
export type VmList = z.infer<typeof vmListSchema>;
