/** What VMs on the users' platform tell each other of the objects in its store. */

import * as z from "zod";

const objectSchema = z.object({
  name: z.string(),
  revision: z.number(),
  /** As its owner wrote it; decoded by whoever follows the kind. */
  spec: z.unknown(),
  status: z.unknown(),
});

const changesSchema = z.object({
  kind: z.string(),
  /** Whether these are all objects of the kind. */
  whole: z.boolean(),
  /** Revision up to which the changes are complete. */
  revision: z.number(),
  objects: z.array(objectSchema).readonly(),
  removed: z.array(objectSchema).readonly(),
});

/** Schema of what a VM tells of the store. */
export const toldStoreSchema = z.object({
  /** Whether the VM asks the store itself, and the store answers it. */
  watched: z.boolean(),
  /** How long ago the store came back, in milliseconds, if it was away. */
  backAgeMs: z.number().optional(),
  /** Up to which revision the VM knows each kind. */
  known: z.array(z.object({ kind: z.string(), revision: z.number() })),
  /** What the asker does not know yet. */
  changes: z.array(changesSchema),
});

/** What a VM tells of the store. */
export type ToldStore = z.infer<typeof toldStoreSchema>;
/** Changes of one kind. */
export type ToldChanges = z.infer<typeof changesSchema>;
