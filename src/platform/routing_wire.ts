/** Decodes the routing configuration that operators write to the store. */

import * as z from "zod";
import type {
  AccountId,
  ApiKey,
  ModelId,
  RouteId,
  ServiceId,
} from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type {
  Route,
  RouteKind,
  RoutingConfiguration,
  Service,
} from "../core/routes/route.ts";
import { type DecodeError, toDecodeError } from "./decode_error.ts";

/** Kind and name of the configuration object in the store. */
export const CONFIGURATION_KIND = "config";
export const CONFIGURATION_NAME = "main";

const DEFAULT_MAX_ATTEMPTS = 1;
const MS_PER_SECOND = 1_000;
/** Used if a configuration sets no limits; the same values as in the users' example. */
const DEFAULT_LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

const KIND_BY_ROUTE_TYPE: Readonly<Record<string, RouteKind>> = {
  idempotent: "repeatable",
  non_idempotent: "once",
  streaming: "stream",
};

const optional = <T extends z.ZodType>(schema: T) =>
  schema.nullish().transform((value) => value ?? undefined);

const routeSchema = z.object({
  Name: z.string(),
  Hostname: z.string(),
  PathPrefix: z.string().startsWith("/"),
  RouteType: z.enum(["idempotent", "non_idempotent", "streaming"]),
  Service: optional(z.string()),
  // Weights are relative and need not add up to a fixed total.
  WeightedServices: optional(
    z.array(z.object({ Service: z.string(), Weight: z.number().min(0) })),
  ),
  TimeoutMs: optional(z.number().min(0)),
  TargetLatencyMs: optional(z.number().min(0)),
  GapTargetMs: optional(z.number().min(0)),
  MaxAttempts: optional(z.int().min(1)),
  Priority: optional(z.int()),
  Anonymous: optional(z.boolean()),
  StreamResumption: optional(z.boolean()),
  Sizes: optional(z.array(z.string())),
});

const serviceSchema = z.object({
  Name: z.string(),
  MaxConnections: z.int().min(1).default(64),
  WarmupS: z.number().min(0).default(0),
  WarmupPerS: z.number().min(0).default(0),
  Engine: optional(z.object({
    Slots: z.int().min(1),
    KvCapacityTokens: z.number().min(0).default(0),
    Models: z.array(z.object({ Name: z.string(), Cost: z.number().default(0) }))
      .default([]),
  })),
});

const configurationSchema = z.object({
  Version: z.number(),
  Routes: z.array(routeSchema),
  Services: z.array(serviceSchema).default([]),
  Limits: z.object({
    MaxHeaderBytes: z.int().default(DEFAULT_LIMITS.MaxHeaderBytes),
    MaxBodyBytes: z.int().default(DEFAULT_LIMITS.MaxBodyBytes),
    HeaderTimeoutMs: z.number().default(DEFAULT_LIMITS.HeaderTimeoutMs),
    IdleTimeoutMs: z.number().default(DEFAULT_LIMITS.IdleTimeoutMs),
  }).prefault({}),
  Tenants: optional(z.array(z.object({
    Name: z.string(),
    ApiKeys: z.array(z.string()).default([]),
    Priority: optional(z.int()),
  }))),
});

type RouteWire = z.infer<typeof routeSchema>;
type ServiceWire = z.infer<typeof serviceSchema>;

/** Decodes a configuration; unknown fields are ignored. */
export function decodeConfiguration(
  spec: unknown,
): Result<RoutingConfiguration, DecodeError> {
  const parsed = configurationSchema.safeParse(spec);
  if (!parsed.success) {
    return fail(toDecodeError("configuration", parsed.error));
  }
  const wire = parsed.data;
  return ok({
    version: wire.Version,
    routes: wire.Routes.map(toRoute),
    services: wire.Services.map(toService),
    limits: {
      maxHeaderBytes: wire.Limits.MaxHeaderBytes,
      maxBodyBytes: wire.Limits.MaxBodyBytes,
      headerTimeoutMs: wire.Limits.HeaderTimeoutMs,
      idleTimeoutMs: wire.Limits.IdleTimeoutMs,
    },
    accounts: wire.Tenants?.map((tenant) => ({
      id: tenant.Name as AccountId,
      keys: tenant.ApiKeys as ApiKey[],
      priority: tenant.Priority,
    })),
  });
}

function toRoute(wire: RouteWire): Route {
  const weighted = wire.WeightedServices ??
    (wire.Service === undefined ? [] : [{ Service: wire.Service, Weight: 1 }]);
  return {
    id: wire.Name as RouteId,
    host: wire.Hostname,
    pathPrefix: wire.PathPrefix,
    kind: KIND_BY_ROUTE_TYPE[wire.RouteType] ?? "once",
    targets: weighted.map(({ Service, Weight }) => ({
      service: Service as ServiceId,
      weight: Weight,
    })),
    maxRuns: wire.MaxAttempts ?? DEFAULT_MAX_ATTEMPTS,
    timeLimitMs: wire.TimeoutMs,
    targetMs: wire.TargetLatencyMs,
    longestPauseMs: wire.GapTargetMs,
    priority: wire.Priority ?? 0,
    anonymous: wire.Anonymous ?? false,
    resumable: wire.StreamResumption ?? false,
    models: (wire.Sizes ?? []) as ModelId[],
  };
}

function toService(wire: ServiceWire): Service {
  return {
    id: wire.Name as ServiceId,
    maxConnections: wire.MaxConnections,
    warmup: wire.WarmupS > 0 && wire.WarmupPerS > 0
      ? {
        durationMs: wire.WarmupS * MS_PER_SECOND,
        requestsPerSecond: wire.WarmupPerS,
      }
      : undefined,
    engine: wire.Engine === undefined ? undefined : {
      slots: wire.Engine.Slots,
      cacheTokens: wire.Engine.KvCapacityTokens,
      models: wire.Engine.Models.map(({ Name, Cost }) => ({
        id: Name as ModelId,
        costPer1kTokens: Cost,
      })),
    },
  };
}
