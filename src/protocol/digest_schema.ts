/** Messages by which VMs on the users' platform tell each other what they see. */

import * as z from "zod";
import type {
  InstanceId,
  ModelId,
  PromptPartId,
  ReleaseId,
  RouteId,
  ServiceId,
} from "../core/ids.ts";
import type { Evidence } from "../core/rollout/evidence.ts";
import { memberSchema } from "./peer_schema.ts";

const id = <T extends string>() => z.string().transform((text) => text as T);

const evidenceSchema: z.ZodType<Evidence, unknown> = z.object({
  service: id<ServiceId>(),
  release: id<ReleaseId>(),
  route: id<RouteId>(),
  model: id<ModelId>().optional(),
  answers: z.number(),
  failures: z.number(),
  logMsSum: z.number(),
});

/** A session that was seen lately, and the release that served it. */
const sessionSchema = z.object({
  session: id<PromptPartId>(),
  release: id<ReleaseId>(),
  ageMs: z.number(),
});

/** What one VM tells of itself and what it has heard. */
export const digestSchema = z.object({
  self: memberSchema,
  /** Life of the process that tells; counts start anew with each. */
  life: z.number(),
  news: z.array(memberSchema).max(1_000),
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** Time since a read of the store showed that it is the newest. */
  confirmedAgeMs: z.number(),
  /** Predicted work under way at each server, in milliseconds. */
  work: z.array(z.object({ instance: id<InstanceId>(), ms: z.number() })),
  /** Answers of services that a roll-out is under way for. */
  evidence: z.array(evidenceSchema),
  sessions: z.array(sessionSchema),
  /** Releases that this VM has found bad. */
  braked: z.array(z.object({
    service: id<ServiceId>(),
    release: id<ReleaseId>(),
  })),
});

/** What one VM tells. */
export type VmDigest = z.infer<typeof digestSchema>;
