/** Gossip messages that VMs on the users' platform exchange about their local state and observations. */

import * as z from "zod";
import type {
  AccountId,
  InstanceId,
  ModelId,
  PartKey,
  PromptPartId,
  ReleaseId,
  RequestKey,
  RouteId,
  ServerIncarnation,
  ServiceId,
} from "../core/ids.ts";
import type { Evidence } from "../core/rollout/evidence.ts";
import type { ServerReport } from "../core/servers/server_report.ts";
import { memberSchema } from "./peer_schema.ts";
import { storeUpdateSchema } from "./store_schema.ts";

/** Far more than the number of servers that leave at the same time. */
export const MAX_DIGEST_LEAVING_SERVERS = 1_000;
/** Far more than the number of servers of one service. */
export const MAX_DIGEST_RATE_LIMITS = 1_000;

/** Maximum number of entries on server crashes. */
export const MAX_DIGEST_CRASHES = 1_000;
/** Maximum number of prompt parts in one of them; a crash with more takes several. */
export const MAX_DIGEST_CRASH_PARTS = 64;
/** Maximum number of completed prompt parts. */
export const MAX_DIGEST_COMPLETIONS = 1_000;

/** Far more than the number of objects that one VM writes within seconds. */
export const MAX_DIGEST_WRITES = 100;

const id = <T extends string>() => z.string().transform((text) => text as T);

const evidenceSchema: z.ZodType<Evidence, unknown> = z.object({
  service: id<ServiceId>(),
  release: id<ReleaseId>(),
  route: id<RouteId>(),
  model: id<ModelId>().optional(),
  answers: z.number(),
  failures: z.number(),
  // Absent from programs that counted the times of failures as well.
  latencies: z.number().default(0),
  logMsSum: z.number(),
  logMsSquares: z.number().default(0),
});

const serverReportSchema: z.ZodType<ServerReport, unknown> = z.object({
  instance: id<InstanceId>(),
  workMs: z.number(),
  answers: z.number(),
  failures: z.number(),
  witnesses: z.number(),
});

/** A recently active session and the release that served it. */
const sessionSchema = z.object({
  session: id<PromptPartId>(),
  release: id<ReleaseId>(),
  ageMs: z.number(),
});

/** A server incarnation that ended shortly after a request had started to run on it. */
const crashSchema = z.object({
  request: id<RequestKey>(),
  parts: z.array(id<PartKey>()).max(MAX_DIGEST_CRASH_PARTS).readonly().default(
    [],
  ),
  account: id<AccountId>().optional(),
  life: id<ServerIncarnation>(),
  address: z.string(),
  after: z.array(id<ServerIncarnation>()).max(100).readonly(),
  beganAgeMs: z.number(),
  endedAgeMs: z.number(),
  serviceSize: z.number(),
});

/** Requests that may crash servers and of which the receiver may not have been notified. */
const crashesSchema = z.object({
  ends: z.array(crashSchema).max(MAX_DIGEST_CRASHES),
  /** Requests that completed successfully after they were suspected. */
  goodEnds: z.array(z.object({ request: id<RequestKey>(), ageMs: z.number() }))
    .max(MAX_DIGEST_CRASHES),
  /** Prompt parts of requests that completed, which therefore crash no server. */
  completions: z.array(z.object({ part: id<PartKey>(), ageMs: z.number() }))
    .max(MAX_DIGEST_COMPLETIONS).default([]),
});

/** Rate limit of a server for all VMs together; without `limitPerS`, the server has withdrawn its limit. */
const limitSchema = z.object({
  instance: id<InstanceId>(),
  bornMs: z.number().optional(),
  limitPerS: z.number().min(0).optional(),
  ageMs: z.number(),
});

/** A rejection for want of room by a server that bears only few of them. */
const brittleRejectionSchema = z.object({
  instance: id<InstanceId>(),
  bornMs: z.number().optional(),
  /** Rejections in a second that the server bears from all VMs together. */
  bears: z.number().min(0),
  /** Number of the rejection at the sending VM. */
  sequence: z.number(),
  ageMs: z.number(),
});

/** Schema of what one VM advertises: its own state and what it has received from others. */
export const digestSchema = z.object({
  self: memberSchema,
  /** Incarnation of the sending process; counts restart from zero with each. */
  life: z.number(),
  /** Whether the VM acts as a relay, and therefore receives the digests of the whole fleet directly. */
  relay: z.boolean(),
  /** Whether the store failed to answer the VM's last call. */
  storeLost: z.boolean(),
  /** Set of VMs over which `servers` and `evidence` are summed. */
  scope: z.enum(["own", "group", "fleet"]),
  news: z.array(memberSchema).max(1_000),
  /** Version of the configuration in force; 0 if there is none yet. */
  configurationVersion: z.number(),
  /** Time since a read of the store confirmed that this version is the latest, in milliseconds. */
  confirmedAgeMs: z.number(),
  /** Work in progress at each server, and the outcomes of its responses. */
  servers: z.array(serverReportSchema),
  /** Outcomes of responses of services with a roll-out in progress. */
  evidence: z.array(evidenceSchema),
  sessions: z.array(sessionSchema),
  /** Prompts that the VM has recently started to send to servers. */
  holders: z.array(z.object({ key: z.string(), instance: id<InstanceId>() }))
    .max(1_000),
  crashes: crashesSchema,
  /** Server incarnations that have announced to any VM that they are leaving. */
  leaving: z.array(z.object({ instance: id<InstanceId>(), bornMs: z.number() }))
    .max(MAX_DIGEST_LEAVING_SERVERS),
  /** Latest rate limits that servers have set for all VMs together. */
  limits: z.array(limitSchema).max(MAX_DIGEST_RATE_LIMITS),
  /** Rejections by brittle servers within the last second. */
  brittle: z.array(brittleRejectionSchema).max(MAX_DIGEST_RATE_LIMITS)
    .default([]),
  /** Positions in the store of the VM's own recent writes to kinds that no VM follows. */
  writes: z.array(z.object({ era: z.number(), revision: z.number() }))
    .max(MAX_DIGEST_WRITES).default([]),
  /** Releases that were halted because they were found to be bad. */
  braked: z.array(z.object({
    service: id<ServiceId>(),
    release: id<ReleaseId>(),
  })),
});

/** Schema of the request by which one VM exchanges digests with another. */
export const digestRequestSchema = z.object({
  digest: digestSchema,
  /** Revision of each kind of the store up to which the requesting VM is current. */
  known: storeUpdateSchema.shape.known,
});

/** Schema of the response to a digest request. */
export const digestResponseSchema = z.object({
  digest: digestSchema,
  store: storeUpdateSchema,
});

/** What one VM advertises: its own state and what it has received from others. */
export type VmDigest = z.infer<typeof digestSchema>;
/** Request by which one VM exchanges digests with another. */
export type DigestRequest = z.infer<typeof digestRequestSchema>;
/** Response to a digest request. */
export type DigestResponse = z.infer<typeof digestResponseSchema>;
