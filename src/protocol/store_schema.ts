/** What VMs on the users' platform tell each other of the objects in its store. */

import * as z from "zod";

/** Stands for "never", which JSON cannot say, in milliseconds. */
const LONGEST_AGE_MS = 1_000_000_000;

/** An age as VMs tell it, in milliseconds: rounded up, so that nothing seems newer than it is. */
export function advertisedAgeMs(ageMs: number): number {
  return Math.min(LONGEST_AGE_MS, Math.ceil(ageMs));
}

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
export const storeUpdateSchema = z.object({
  /** Whether the VM reads the store for others, and the store answers it. */
  reads: z.boolean(),
  /** Whether the store did not answer the VM's last call. */
  lost: z.boolean(),
  /** Whether the store answers the VM, or those answer that read it for others. */
  inTouch: z.boolean(),
  /** How long ago the store came back, in milliseconds, if it was away. */
  backAgeMs: z.number().optional(),
  /** Up to which revision the VM knows each kind. */
  known: z.array(z.object({ kind: z.string(), revision: z.number() })),
  /** What the asker does not know yet. */
  changes: z.array(changesSchema),
});

/** What a relay asks a VM that reads the store. */
export const feedRequestSchema = z.object({
  /** Up to which revision the asker knows each kind. */
  known: storeUpdateSchema.shape.known,
  /** How long to wait for news, in milliseconds. */
  waitMs: z.number().min(0).max(10_000),
});

/** What the VM that reads the store answers, once there is news or the wait is over. */
export const feedResponseSchema = z.object({
  store: storeUpdateSchema,
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** Time since a read of the store showed that it is the newest. */
  confirmedAgeMs: z.number(),
  /** How long the question waited for this answer, in milliseconds. */
  heldMs: z.number(),
});

/** What a relay asks a VM that reads the store. */
export type FeedRequest = z.infer<typeof feedRequestSchema>;
/** What the VM that reads the store answers. */
export type FeedResponse = z.infer<typeof feedResponseSchema>;
/** What a VM tells of the store. */
export type StoreUpdate = z.infer<typeof storeUpdateSchema>;
/** Changes of one kind. */
export type KindUpdate = z.infer<typeof changesSchema>;
