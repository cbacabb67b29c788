/** Configuration of a small deployment: one model service and one plain service. */

import { HOST, KEY, TENANT } from "./client.mjs";

export const MODELS = "halaman-llm";
export const TILL = "tindahan-app";
export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

export function streamRoute(fields = {}) {
  return {
    Name: "care-sheet",
    Hostname: HOST,
    PathPrefix: "/care/",
    RouteType: "streaming",
    Service: MODELS,
    MaxAttempts: 3,
    TimeoutMs: 8_000,
    TargetLatencyMs: 2_000,
    GapTargetMs: 1_000,
    Priority: 0,
    SessionAffinity: true,
    StreamResumption: true,
    ...fields,
  };
}

export function tillRoute(fields = {}) {
  return {
    Name: "stock-lookup",
    Hostname: HOST,
    PathPrefix: "/stock/",
    RouteType: "non_idempotent",
    Service: TILL,
    MaxAttempts: 1,
    TimeoutMs: 1_500,
    TargetLatencyMs: 193,
    Priority: 2,
    ...fields,
  };
}

export function configure(store, routes, version = 1) {
  store.put("config", "main", {
    spec: {
      Version: version,
      Routes: routes,
      Services: [
        {
          Name: MODELS,
          HealthPath: "/healthz",
          MaxConnections: 360,
          Engine: { Slots: 64, KvCapacityTokens: 504674, Models: [] },
        },
        { Name: TILL, HealthPath: "/healthz", MaxConnections: 100 },
      ],
      Limits: LIMITS,
      Tenants: [{ Name: TENANT, ApiKeys: [KEY] }],
    },
  });
}
