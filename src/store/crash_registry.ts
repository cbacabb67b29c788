/**
 * Persists what crashes servers, each culprit as an object of a kind of its own in the store. VMs
 * have no disk, so that the records would be lost if all VMs stopped together. Each VM reads them
 * as it starts; only a few VMs write them.
 */

import * as z from "zod";
import type { Crash, SuspectKey } from "../core/crashes/crash.ts";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import {
  describeKeys,
  type Hypothesis,
} from "../core/crashes/crash_hypotheses.ts";
import type {
  AccountId,
  PartKey,
  RequestKey,
  ServerIncarnation,
} from "../core/ids.ts";
import {
  describeStoreError,
  type ObjectStore,
  type StoredObject,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import { shortDigest } from "../runtime/hashing.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import type { StoreEraMonitor } from "./store_era_monitor.ts";
import type { UnfollowedWriter } from "./unfollowed_writer.ts";

const CRASH_KIND = "fieldrack-crashes";
const CALL_TIMEOUT_MS = 1_000;
/** Minimum time between calls of the store. */
const CALL_INTERVAL_MS = 2_000;
/**
 * Time after the start in which the stored crashes are awaited. A VM that has not read them sends
 * no request, as it may crash servers.
 */
const LOAD_TIMEOUT_MS = 1_000;
/** Time after which a failed read is repeated while requests wait for it. */
const LOAD_RETRY_MS = 100;
/** Hexadecimal digits of the name of an object. */
const NAME_LENGTH = 32;
/** Most crashes that are stored of one culprit; the latest count. */
const MAX_STORED_CRASHES = 64;
/**
 * Time between the last crash of a culprit and its write. By then the reports of other VMs have
 * arrived, which may show that another request caused the crashes, and one write suffices.
 */
const WRITE_DELAY_MS = 1_000;
/**
 * Number of known stored culprits at which no further ones are written, as the store keeps objects
 * until they are deleted.
 */
const MAX_STORED_CULPRITS = 200;

const crashSchema = z.object({
  /** Undefined if the object is named after the request. */
  request: z.string().optional(),
  life: z.string(),
  address: z.string(),
  after: z.array(z.string()),
  /** By the wall clock of the VM that wrote it. */
  beganAtMs: z.number(),
  endedAtMs: z.number(),
  serviceSize: z.number(),
});

const recordSchema = z.object({
  account: z.string().optional(),
  /** Prompt parts that all these requests hold. */
  parts: z.array(z.string()).default([]),
  crashes: z.array(crashSchema),
});

interface Deps {
  readonly objectStore: ObjectStore;
  readonly unfollowedWriter: Pick<UnfollowedWriter, "put">;
  readonly storeEraMonitor: StoreEraMonitor;
  readonly crashHistory: CrashHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Writes what crashes servers to the store and reads what other VMs have written. */
export class CrashRegistry {
  readonly #deps: Deps;
  /** Number of crashes in each stored object, as last read or written here. */
  readonly #storedCrashes = new Map<string, number>();
  #lastCallMs = -Infinity;
  #hasRead = false;
  readonly #createdMs: number;
  #hasLoaded = false;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#createdMs = deps.clock.monotonicMs();
    // A restored store may lack crashes that were stored before.
    deps.storeEraMonitor.onRestored(() => {
      this.#storedCrashes.clear();
      this.#hasRead = false;
    });
  }

  /** Whether the stored crashes were read, or are awaited no longer. */
  get isLoaded(): boolean {
    this.#hasLoaded ||= this.#deps.clock.monotonicMs() - this.#createdMs >=
      LOAD_TIMEOUT_MS;
    return this.#hasLoaded;
  }

  /** Reads the stored crashes as the VM starts; `onRead` is called before requests may be sent. */
  async load(onRead: (crashes: readonly Crash[]) => void): Promise<void> {
    while (!this.isLoaded) {
      this.#lastCallMs = this.#deps.clock.monotonicMs();
      const crashes = await this.#readStored();
      onRead(crashes);
      this.#hasLoaded ||= this.#hasRead;
      if (!this.#hasLoaded) await pause(LOAD_RETRY_MS);
    }
  }

  /** Reads the stored crashes once, then writes new ones; returns the crashes that were read. */
  async sync(): Promise<readonly Crash[]> {
    const nowMs = this.#deps.clock.monotonicMs();
    if (nowMs - this.#lastCallMs < CALL_INTERVAL_MS) return [];
    if (!this.#hasRead) {
      this.#lastCallMs = nowMs;
      return await this.#readStored();
    }
    const culprit = this.#nextUnstored(nowMs);
    if (culprit === undefined) return [];
    this.#lastCallMs = nowMs;
    await this.#write(culprit);
    return [];
  }

  #nextUnstored(nowMs: number): Hypothesis | undefined {
    const { crashHistory } = this.#deps;
    const isFull = this.#storedCrashes.size >= MAX_STORED_CULPRITS;
    return crashHistory.culprits.find((culprit) => {
      const { crashes } = culprit;
      const lastMs = Math.max(...crashes.map(({ endedMs }) => endedMs));
      const stored = this.#storedCrashes.get(objectNameOf(culprit));
      if (stored === undefined && isFull) return false;
      return nowMs - lastMs >= WRITE_DELAY_MS && crashes.length > (stored ?? 0);
    });
  }

  async #readStored(): Promise<readonly Crash[]> {
    const { objectStore, storeEraMonitor, logger } = this.#deps;
    const listing = await objectStore.list(CRASH_KIND, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!listing.ok) {
      logger.info("Could not read the stored requests that crash servers", {
        reason: describeStoreError(listing.error),
      });
      return [];
    }
    this.#hasRead = listing.value.era >= storeEraMonitor.era;
    return listing.value.objects.flatMap((object) => this.#decode(object));
  }

  #decode({ name, spec }: StoredObject): readonly Crash[] {
    const { clock, logger } = this.#deps;
    const parsed = recordSchema.safeParse(spec);
    if (!parsed.success) {
      logger.warn("Stored request that crashes servers could not be decoded", {
        object: name,
        reason: parsed.error.message,
      });
      return [];
    }
    const { account, parts, crashes } = parsed.data;
    const nowMs = clock.monotonicMs();
    // The wall clock of another VM may be ahead: no crash is dated in the future.
    const ageMs = (atMs: number) => Math.max(0, clock.wallMs() - atMs);
    this.#storedCrashes.set(name, crashes.length);
    return crashes.map(({ beganAtMs, endedAtMs, ...crash }) => ({
      ...crash,
      request: (crash.request ?? name) as RequestKey,
      parts: parts as PartKey[],
      account: account as AccountId | undefined,
      life: crash.life as ServerIncarnation,
      after: crash.after as ServerIncarnation[],
      beganMs: nowMs - ageMs(beganAtMs),
      endedMs: nowMs - ageMs(endedAtMs),
    }));
  }

  async #write(culprit: Hypothesis): Promise<void> {
    const { unfollowedWriter, storeEraMonitor, logger } = this.#deps;
    const { crashes } = culprit;
    const name = objectNameOf(culprit);
    const key = { kind: CRASH_KIND, name };
    const result = await unfollowedWriter.put(key, {
      timeoutMs: CALL_TIMEOUT_MS,
      spec: this.#encode(culprit),
    });
    // An answer of an earlier era may be about a write that a restore has undone.
    const isStored = result.ok && result.value.era >= storeEraMonitor.era;
    if (isStored) this.#storedCrashes.set(name, crashes.length);
    logger.info("Write of what crashes servers completed", {
      object: name,
      keys: describeKeys(culprit),
      crashes: crashes.length,
      written: result.ok,
      reason: result.ok ? undefined : describeStoreError(result.error),
    });
  }

  #encode({ keys, crashes }: Hypothesis): z.input<typeof recordSchema> {
    const { clock } = this.#deps;
    const offsetMs = clock.wallMs() - clock.monotonicMs();
    const latest = [...crashes]
      .sort((a, b) => a.endedMs - b.endedMs)
      .slice(-MAX_STORED_CRASHES);
    const requests = new Set<SuspectKey>(crashes.map((one) => one.request));
    return {
      account: crashes[0]?.account,
      parts: [...keys].filter((key) => !requests.has(key)),
      crashes: latest.map((crash) => ({
        request: crash.request,
        life: crash.life,
        address: crash.address,
        after: [...crash.after],
        beganAtMs: Math.round(crash.beganMs + offsetMs),
        endedAtMs: Math.round(crash.endedMs + offsetMs),
        serviceSize: crash.serviceSize,
      })),
    };
  }
}

/** Name of the object of a culprit: the request, or a digest of what requests have in common. */
function objectNameOf({ id, keys, crashes }: Hypothesis): string {
  const request = crashes.map((crash) => crash.request)
    .find((key) => keys.has(key));
  return request ?? shortDigest([id], NAME_LENGTH);
}
