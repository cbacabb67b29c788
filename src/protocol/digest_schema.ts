/** Messages by which VMs on the users' platform tell each other what they see. */

import * as z from "zod";
import type {
  AccountId,
  InstanceId,
  ModelId,
  PromptPartId,
  ReleaseId,
  RequestKey,
  RouteId,
  ServerLife,
  ServiceId,
} from "../core/ids.ts";
import type { Evidence } from "../core/rollout/evidence.ts";
import type { ServerReport } from "../core/servers/server_report.ts";
import { memberSchema } from "./peer_schema.ts";
import { storeUpdateSchema } from "./store_schema.ts";

/** Leaving servers in one message, at most; far more than leave at once. */
export const MAX_DIGEST_LEAVING_SERVERS = 1_000;
/** Limits of servers in one message, at most; far more than there are servers of one service. */
export const MAX_DIGEST_RATE_LIMITS = 1_000;

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

const serverReportSchema: z.ZodType<ServerReport, unknown> = z.object({
  instance: id<InstanceId>(),
  workMs: z.number(),
  answers: z.number(),
  failures: z.number(),
  witnesses: z.number(),
});

/** A session that was seen lately, and the release that served it. */
const sessionSchema = z.object({
  session: id<PromptPartId>(),
  release: id<ReleaseId>(),
  ageMs: z.number(),
});

/** The end of a server under a request that had just begun to run there. */
const crashSchema = z.object({
  request: id<RequestKey>(),
  account: id<AccountId>().optional(),
  life: id<ServerLife>(),
  address: z.string(),
  after: z.array(id<ServerLife>()).max(100).readonly(),
  beganAgeMs: z.number(),
  endedAgeMs: z.number(),
  serviceSize: z.number(),
});

/** Requests that may crash servers, as far as the asked VM may not have heard of them. */
const crashesSchema = z.object({
  ends: z.array(crashSchema).max(1_000),
  /** Requests that have run to a good end after they were suspected. */
  goodEnds: z.array(z.object({ request: id<RequestKey>(), ageMs: z.number() }))
    .max(1_000),
});

/** How many requests a second a server takes from all VMs; without one, that it says so no more. */
const limitSchema = z.object({
  instance: id<InstanceId>(),
  bornMs: z.number().optional(),
  limitPerS: z.number().min(0).optional(),
  ageMs: z.number(),
});

/** What one VM tells of itself and what it has heard. */
export const digestSchema = z.object({
  self: memberSchema,
  /** Life of the process that tells; counts start anew with each. */
  life: z.number(),
  /** Whether the VM acts as a relay, and so hears of the whole fleet by itself. */
  relay: z.boolean(),
  /** Whether the store did not answer the VM's last call. */
  storeLost: z.boolean(),
  /** Whose servers and evidence these are, added up. */
  scope: z.enum(["own", "group", "fleet"]),
  news: z.array(memberSchema).max(1_000),
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** Time since a read of the store showed that it is the newest. */
  confirmedAgeMs: z.number(),
  /** Work under way at each server, and how it answers. */
  servers: z.array(serverReportSchema),
  /** Answers of services that a roll-out is under way for. */
  evidence: z.array(evidenceSchema),
  sessions: z.array(sessionSchema),
  /** Prompts that the VM has lately begun to send to servers. */
  holders: z.array(z.object({ key: z.string(), instance: id<InstanceId>() }))
    .max(1_000),
  crashes: crashesSchema,
  /** Lives of servers that have said that they leave, to whichever VM. */
  leaving: z.array(z.object({ instance: id<InstanceId>(), bornMs: z.number() }))
    .max(MAX_DIGEST_LEAVING_SERVERS),
  /** What servers have last said of how much they take from all VMs. */
  limits: z.array(limitSchema).max(MAX_DIGEST_RATE_LIMITS),
  /** Releases that were found bad. */
  braked: z.array(z.object({
    service: id<ServiceId>(),
    release: id<ReleaseId>(),
  })),
});

/** What one VM asks of another. */
export const digestRequestSchema = z.object({
  digest: digestSchema,
  /** Up to which revision the asker knows each kind of the store. */
  known: storeUpdateSchema.shape.known,
});

/** What the other VM answers. */
export const digestResponseSchema = z.object({
  digest: digestSchema,
  store: storeUpdateSchema,
});

/** What one VM tells. */
export type VmDigest = z.infer<typeof digestSchema>;
/** What one VM asks of another. */
export type DigestRequest = z.infer<typeof digestRequestSchema>;
/** What the other VM answers. */
export type DigestResponse = z.infer<typeof digestResponseSchema>;
