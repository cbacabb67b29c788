/** Messages of the platform's object API, as implemented by this project's stand-in. */

import * as z from "zod";

/** Schema of one stored object. */
export const platformObjectSchema = z.object({
  key: z.string(),
  /** Starts at 1 and increases with each write of the object. */
  version: z.int(),
  /** Content, as text. */
  value: z.string(),
});

/** One stored object. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

/** Schema of the response to a write. */
export const platformWriteSchema = z.object({ version: z.int() });

/** Schema of the response to a write whose precondition was not met. */
export const platformConflictSchema = z.object({
  /** Current version of the object; 0 if it does not exist. */
  current_version: z.int(),
});

/** Schema of a list of object keys. */
export const platformKeysSchema = z.object({ keys: z.array(z.string()) });

/** Schema of the platform's list of VMs, which lags behind the actual state. */
export const vmListSchema = z.object({
  vms: z.array(z.object({
    id: z.string(),
    kind: z.enum(["entry", "backend"]),
    state: z.enum(["live", "leaving"]),
    /** Address for other entry VMs; set only for entry VMs. */
    peers: z.string().optional(),
  })),
});

/** The platform's list of VMs, which lags behind the actual state. */
export type VmList = z.infer<typeof vmListSchema>;
