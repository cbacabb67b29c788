/** Decodes the settings file that the platform places on each VM. */

import { parse } from "yaml";
import * as z from "zod";
import type { DataCentreId, EntryId } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import { type DecodeError, toDecodeError } from "./decode_error.ts";

const MS_PER_SECOND = 1_000;

/** Environment variable with the path of the settings file. */
export const SETTINGS_ENV_VAR = "FIELDRACK_SETTINGS";

/** The settings file has no metrics port; the deploy file repeats this value. */
const METRICS_PORT = 9_464;

/** Settings of one process: its VM and the deployment. */
export interface VmSettings {
  readonly vm: EntryId;
  readonly dataCentre: DataCentreId;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: ReadonlyMap<DataCentreId, string>;
  /** IP address of the VM. */
  readonly ip: string;
  readonly listen: {
    /** Address for callers' requests. */
    readonly callers: string | undefined;
    /** Address for the platform's readiness checks. */
    readonly readiness: string | undefined;
    /** Address on which callers request the list of entry addresses. */
    readonly addresses: string | undefined;
    /** Address for other entry VMs. */
    readonly peers: string | undefined;
  };
  /** Peer addresses of some entry VMs, used to join the fleet; may be stale. */
  readonly seeds: readonly string[];
  /** First and last port of the range reserved for internal use. */
  readonly internalPorts: { readonly first: number; readonly last: number };
  /** Port on which metrics are served; undefined disables them. */
  readonly metricsPort: number | undefined;
  readonly memoryMb: number;
  /** File descriptors that the process may have open. */
  readonly descriptors: number;
  /** CPU quota of the VM, in cores of standard speed. */
  readonly cores: number;
  readonly store: {
    /** `IP:port`. */
    readonly address: string;
    /** Rate limits for the calls of all entry VMs together. */
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
  };
  readonly bounds: DeploymentBounds;
}

/** Time limits and traffic shares that the operators of the deployment require. */
export interface DeploymentBounds {
  /** From acknowledging a configuration until it is in force. */
  readonly configurationApplyMs: number;
  /** From removing an API key until no request with it is running. */
  readonly keyRemovalMs: number;
  /** Whether requests with API keys are refused while a key removal may have been missed. */
  readonly refuseUnconfirmedKeys: boolean;
  /** From the start of a server's draining until it receives no new work. */
  readonly drainMs: number;
  /** From SIGTERM until SIGKILL. */
  readonly stopGraceMs: number;
  /** Retries at servers as a share of requests, over `retryWindowMs`. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries that the whole fleet may make in one window beyond that share. */
  readonly retryAllowance: number;
  /** Share of a service's requests that a new release may receive while it is a canary. */
  readonly canaryShare: number;
  /** Requests that a canary may receive beyond that share. */
  readonly canaryAllowance: number;
  /** From when the evidence shows that a release is bad until it receives no more requests. */
  readonly rollbackMs: number;
  /** Idle time after which a session ends and the next request starts a new one. */
  readonly sessionGapMs: number;
  /**
   * From the order to evacuate a data centre until its servers receive no new work; undefined
   * if data centres are never evacuated.
   */
  readonly evacuationMs: number | undefined;
  /** Maximum time for which callers may cache a list of addresses. */
  readonly maxAddressTtlMs: number;
}

const seconds = (fallback: number) =>
  z.number().min(0).default(fallback).transform((s) => s * MS_PER_SECOND);
const millis = (fallback: number) => z.number().min(0).default(fallback);

// Defaults for bounds that a deployment does not set. They are the smallest values in the users'
// documentation, so that such a deployment gets the strictest bounds.
const boundsSchema = z.object({
  ConfigApplyMs: millis(2_000),
  RevokeMs: millis(5_000),
  RevokeFailClosed: z.boolean().default(false),
  DrainMs: millis(2_000),
  GraceS: seconds(8),
  RetryBudgetRatio: z.number().min(0).default(0.1),
  BudgetWindowS: seconds(10),
  RetryAllowance: z.number().min(0).default(10),
  ExposureShare: z.number().min(0).max(1).default(0.1),
  ExposureAllowance: z.number().min(0).default(10),
  RollbackMs: millis(5_000),
  SessionS: seconds(5),
  EvacuationMs: z.number().min(0).optional(),
  ttl_max_s: seconds(5),
});

const settingsSchema = z.object({
  NodeName: z.string().min(1),
  Ip: z.string().min(1),
  Zone: z.string().min(1),
  Region: z.string().default(""),
  Zones: z.record(z.string(), z.string()).default({}),
  ListenersAddr: z.object({
    Frontend: z.string().optional(),
    Readiness: z.string().optional(),
    ControlPlane: z.string().optional(),
    Registry: z.string().optional(),
  }).prefault({}),
  InternalPortRange: z.tuple([z.int(), z.int()]),
  SeedNodes: z.array(z.string()).nullish().transform((seeds) => seeds ?? []),
  Limits: z.object({
    MemoryMb: z.number().min(1).default(256),
    FileDescriptors: z.int().min(1).default(1_024),
    // Share of one core, and the speed of that core relative to the standard.
    CpuQuota: z.number().min(0).default(1),
    CpuCores: z.number().min(0).default(1),
  }).prefault({}),
  Bounds: boundsSchema.prefault({}),
  Platform: z.object({
    Address: z.string().min(1),
    WritesPerS: z.number().min(1).default(100),
    ReadsPerS: z.number().min(1).default(100),
  }),
});

/** Decodes the text of a settings file; unknown fields are ignored. */
export function decodeVmSettings(
  text: string,
): Result<VmSettings, DecodeError> {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (err) {
    const reason = (err as Error).message;
    return fail({ tag: "malformed", what: "settings", field: "", reason });
  }
  const parsed = settingsSchema.safeParse(raw);
  if (!parsed.success) return fail(toDecodeError("settings", parsed.error));
  return ok(toSettings(parsed.data));
}

function toSettings(wire: z.infer<typeof settingsSchema>): VmSettings {
  const { ListenersAddr: listen, Platform: store } = wire;
  return {
    vm: wire.NodeName as EntryId,
    dataCentre: wire.Zone as DataCentreId,
    region: wire.Region,
    regions: new Map(
      Object.entries(wire.Zones).map((
        [zone, region],
      ) => [zone as DataCentreId, region]),
    ),
    ip: wire.Ip,
    listen: {
      callers: listen.Frontend,
      readiness: listen.Readiness,
      addresses: listen.Registry,
      peers: listen.ControlPlane,
    },
    seeds: wire.SeedNodes,
    internalPorts: {
      first: wire.InternalPortRange[0],
      last: wire.InternalPortRange[1],
    },
    metricsPort: METRICS_PORT,
    memoryMb: wire.Limits.MemoryMb,
    descriptors: wire.Limits.FileDescriptors,
    cores: wire.Limits.CpuQuota * wire.Limits.CpuCores,
    store: {
      address: store.Address,
      readsPerSecond: store.ReadsPerS,
      writesPerSecond: store.WritesPerS,
    },
    bounds: toBounds(wire.Bounds),
  };
}

function toBounds(wire: z.infer<typeof boundsSchema>): DeploymentBounds {
  return {
    configurationApplyMs: wire.ConfigApplyMs,
    keyRemovalMs: wire.RevokeMs,
    refuseUnconfirmedKeys: wire.RevokeFailClosed,
    drainMs: wire.DrainMs,
    stopGraceMs: wire.GraceS,
    retryRatio: wire.RetryBudgetRatio,
    retryWindowMs: wire.BudgetWindowS,
    retryAllowance: wire.RetryAllowance,
    canaryShare: wire.ExposureShare,
    canaryAllowance: wire.ExposureAllowance,
    rollbackMs: wire.RollbackMs,
    sessionGapMs: wire.SessionS,
    evacuationMs: wire.EvacuationMs,
    maxAddressTtlMs: wire.ttl_max_s,
  };
}
