/** Decodes the settings file that the platform lays on each VM. */

import { parse } from "yaml";
import * as z from "zod";
import type { DataCentreId, EntryId } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import { type DecodeError, decodeErrorOf } from "./decode_error.ts";

const MS_PER_SECOND = 1_000;

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = "FIELDRACK_SETTINGS";

/** Port of the metrics; the deploy file names it as well, and settings do not. */
const METRICS_PORT = 9_464;

/** What one process is told about its VM and the deployment. */
export interface VmSettings {
  readonly vm: EntryId;
  readonly dataCentre: DataCentreId;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: ReadonlyMap<DataCentreId, string>;
  /** IP number of the VM. */
  readonly ip: string;
  readonly listen: {
    /** For callers' requests. */
    readonly callers: string | undefined;
    /** For the platform's readiness checks. */
    readonly readiness: string | undefined;
    /** For callers who ask which addresses to use. */
    readonly addresses: string | undefined;
    /** For other entry VMs. */
    readonly peers: string | undefined;
  };
  /** Peer addresses of some entry VMs; may be stale. */
  readonly seeds: readonly string[];
  /** First and last port that is free for the system's own use. */
  readonly internalPorts: { readonly first: number; readonly last: number };
  /** Where the metrics are served; undefined where nobody asks for them. */
  readonly metricsPort: number | undefined;
  readonly memoryMb: number;
  /** Processor time that the VM may use, as a share of one core of usual speed. */
  readonly cores: number;
  readonly store: {
    /** `IP:port`. */
    readonly address: string;
    /** Calls that all entry VMs together may make. */
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
  };
  readonly bounds: DeploymentBounds;
}

/** Time limits and shares that the operators of the deployment hold us to. */
export interface DeploymentBounds {
  /** From the acknowledgement of a configuration until it is in force. */
  readonly configurationApplyMs: number;
  /** From the removal of a key until no request with it runs. */
  readonly keyRemovalMs: number;
  /** Whether requests with keys are refused when the removal of keys may have been missed. */
  readonly refuseUnconfirmedKeys: boolean;
  /** From a server's leaving until it gets no new work. */
  readonly drainMs: number;
  /** From SIGTERM until SIGKILL. */
  readonly stopGraceMs: number;
  /** Repeats at servers as a share of requests, over `retryWindowMs`. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Repeats that the whole fleet may make beyond the share in one window. */
  readonly retryAllowance: number;
  /** Share of a service's requests that a new release may get while it is on trial. */
  readonly trialShare: number;
  /** Requests beyond that share. */
  readonly trialAllowance: number;
  /** From the evidence against a release until it gets no more requests. */
  readonly rollbackMs: number;
  /** Pause after which requests no longer belong to the same session. */
  readonly sessionGapMs: number;
  /**
   * From the order to evacuate a data centre until its servers get no new work; undefined
   * where no data centre is ever evacuated.
   */
  readonly evacuationMs: number | undefined;
  /** Longest time for which callers keep a list of addresses. */
  readonly maxAddressTtlMs: number;
}

const seconds = (fallback: number) =>
  z.number().min(0).default(fallback).transform((s) => s * MS_PER_SECOND);
const millis = (fallback: number) => z.number().min(0).default(fallback);

// Defaults hold where a deployment leaves a bound out; they are the smallest that the
// users' pages show, so that a deployment without the bound is served as strictly.
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
    // Share of a core, and how many times as fast as usual that core runs.
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

/** Decodes the text of a settings file; fields it does not know are passed over. */
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
  if (!parsed.success) return fail(decodeErrorOf("settings", parsed.error));
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
    trialShare: wire.ExposureShare,
    trialAllowance: wire.ExposureAllowance,
    rollbackMs: wire.RollbackMs,
    sessionGapMs: wire.SessionS,
    evacuationMs: wire.EvacuationMs,
    maxAddressTtlMs: wire.ttl_max_s,
  };
}
