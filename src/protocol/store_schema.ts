/** What VMs on the users' platform tell each other of the objects in its store. */

import * as z from "zod";

/** Stands for "never", which JSON cannot say, in milliseconds. */
const LONGEST_AGE_MS = 1_000_000_000;

/** An age as VMs tell it, in milliseconds: rounded up, so that nothing seems newer than it is. */
export function toldAgeMs(ageMs: number): number {
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
export const toldStoreSchema = z.object({
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
export const feedQuestionSchema = z.object({
  /** Up to which revision the asker knows each kind. */
  known: toldStoreSchema.shape.known,
  /** How long to wait for news, in milliseconds. */
  waitMs: z.number().min(0).max(10_000),
});

/** What the VM that reads the store answers, once there is news or the wait is over. */
export const feedAnswerSchema = z.object({
  store: toldStoreSchema,
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** Time since a read of the store showed that it is the newest. */
  confirmedAgeMs: z.number(),
  /** How long the question waited for this answer, in milliseconds. */
  heldMs: z.number(),
});

/** What a relay asks a VM that reads the store. */
export type FeedQuestion = z.infer<typeof feedQuestionSchema>;
/** What the VM that reads the store answers. */
export type FeedAnswer = z.infer<typeof feedAnswerSchema>;
/** What a VM tells of the store. */
export type ToldStore = z.infer<typeof toldStoreSchema>;
/** Changes of one kind. */
export type ToldChanges = z.infer<typeof changesSchema>;
