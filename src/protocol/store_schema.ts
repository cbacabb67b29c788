/** Messages by which VMs on the users' platform forward the objects of its store to each other. */

import * as z from "zod";

/** Represents "never", because JSON has no infinity. */
const MAX_AGE_MS = 1_000_000_000;

/** Converts an age in milliseconds for sending: rounded up, so that nothing appears newer than it is. */
export function advertisedAgeMs(ageMs: number): number {
  return Math.min(MAX_AGE_MS, Math.ceil(ageMs));
}

const objectSchema = z.object({
  name: z.string(),
  revision: z.number(),
  /** As written by its owner; decoded by the follower of the kind. */
  spec: z.unknown(),
  status: z.unknown(),
});

/** Position up to which a VM is current in one kind. */
const knownSchema = z.object({
  kind: z.string(),
  /** Era of the store; VMs with an earlier release of this program do not send it. */
  era: z.number().optional(),
  revision: z.number(),
});

const changesSchema = knownSchema.extend({
  /** Whether `objects` contains all objects of the kind, rather than only changes. */
  whole: z.boolean(),
  objects: z.array(objectSchema).readonly(),
  removed: z.array(objectSchema).readonly(),
});

/** Schema of the store state and changes that a VM sends to another. */
export const storeUpdateSchema = z.object({
  /** Whether the VM reads the store on behalf of others and the store is answering. */
  reads: z.boolean(),
  /** Whether the store failed to answer the VM's last call. */
  lost: z.boolean(),
  /** Whether the VM can reach the store, either directly or through the VMs that read it for others. */
  inTouch: z.boolean(),
  /** Time since the store became available again, in milliseconds; set only after an outage. */
  backAgeMs: z.number().optional(),
  /** Position of each kind up to which the VM is current. */
  known: z.array(knownSchema),
  /** Changes that the requesting VM does not have yet. */
  changes: z.array(changesSchema),
  /** Spec of the configuration in force, if the requesting VM has an older one and the store too. */
  configuration: z.unknown().optional(),
});

/** Schema of a relay's request to a VM that reads the store. */
export const feedRequestSchema = z.object({
  /** Position of each kind up to which the relay is current. */
  known: storeUpdateSchema.shape.known,
  /** Version of the configuration in force at the relay; 0 if there is none yet. */
  configurationVersion: z.number().optional(),
  /** How long to wait for an update, in milliseconds. */
  waitMs: z.number().min(0).max(10_000),
});

/** Schema of the response to a feed request, sent when there is an update or the wait has expired. */
export const feedResponseSchema = z.object({
  store: storeUpdateSchema,
  /** Version of the configuration in force; 0 if there is none yet. */
  configurationVersion: z.number(),
  /** Time since a read of the store confirmed that this version is the latest, in milliseconds. */
  confirmedAgeMs: z.number(),
  /** How long the request was held before this response was sent, in milliseconds. */
  heldMs: z.number(),
});

/** Request of a relay to a VM that reads the store. */
export type FeedRequest = z.infer<typeof feedRequestSchema>;
/** Response to a feed request. */
export type FeedResponse = z.infer<typeof feedResponseSchema>;
/** Store state and changes that a VM sends to another. */
export type StoreUpdate = z.infer<typeof storeUpdateSchema>;
/** Changes to the objects of one kind. */
export type KindUpdate = z.infer<typeof changesSchema>;
