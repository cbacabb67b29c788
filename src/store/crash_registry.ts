/**
 * Requests that crash servers, as objects of our own kind in the store, one for each: no VM has
 * a disk, and when all of them end at once, none would remember. Few VMs write and read them.
 */

import * as z from "zod";
import type { Crash } from "../core/crashes/crash.ts";
import type { CrashHistory } from "../core/crashes/crash_history.ts";
import type { AccountId, RequestKey, ServerIncarnation } from "../core/ids.ts";
import {
  describeStoreError,
  type ObjectStore,
  type StoreCall,
  type StoredObject,
} from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Kind of the objects. */
const CRASH_KIND = "fieldrack-crashes";
/** Longest wait for an answer. */
const CALL_TIMEOUT_MS = 1_000;
/** Time between calls, while there is something to read or to write. */
const CALL_EVERY_MS = 2_000;
/**
 * A request is written once its last crash was this long ago: it is then no longer one that was
 * beside another, whose news had not come yet, and takes one write instead of several.
 */
const WRITE_AFTER_MS = 1_000;
/** Requests that one process writes, at most; the store keeps what nobody removes. */
const MOST_WRITTEN = 200;

const crashSchema = z.object({
  life: z.string(),
  address: z.string(),
  after: z.array(z.string()),
  /** By the time of day of the VM that wrote it. */
  beganAtMs: z.number(),
  endedAtMs: z.number(),
  serviceSize: z.number(),
});

const recordSchema = z.object({
  account: z.string().optional(),
  crashes: z.array(crashSchema),
});

interface Deps {
  readonly objectStore: ObjectStore;
  readonly crashHistory: CrashHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Writes requests that crash servers down, and reads those that others have written. */
export class CrashRegistry {
  readonly #deps: Deps;
  /** Crashes of each request that stand in the store, as far as this VM knows. */
  readonly #written = new Map<RequestKey, number>();
  #calledAtMs = -Infinity;
  #read = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Reads once what is there, then writes what is new; returns what was read. */
  async update(): Promise<readonly Crash[]> {
    const nowMs = this.#deps.clock.monotonicMs();
    if (nowMs - this.#calledAtMs < CALL_EVERY_MS) return [];
    if (!this.#read) {
      this.#calledAtMs = nowMs;
      return await this.#readAll();
    }
    const request = this.#unwritten(nowMs);
    if (request === undefined) return [];
    this.#calledAtMs = nowMs;
    await this.#write(request);
    return [];
  }

  #unwritten(nowMs: number): RequestKey | undefined {
    const { crashHistory } = this.#deps;
    if (this.#written.size >= MOST_WRITTEN) return undefined;
    return [...crashHistory.crashingRequests].find((request) => {
      const crashes = crashHistory.crashesOf(request);
      const lastMs = Math.max(...crashes.map(({ endedMs }) => endedMs));
      return nowMs - lastMs >= WRITE_AFTER_MS &&
        crashes.length > (this.#written.get(request) ?? 0);
    });
  }

  async #readAll(): Promise<readonly Crash[]> {
    const { objectStore, logger } = this.#deps;
    const listing = await objectStore.list(CRASH_KIND, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!listing.ok) {
      logger.info("Requests that crash servers were not read", {
        reason: describeStoreError(listing.error),
      });
      return [];
    }
    this.#read = true;
    return listing.value.objects.flatMap((object) => this.#decode(object));
  }

  #decode({ name, spec }: StoredObject): readonly Crash[] {
    const { clock, logger } = this.#deps;
    const parsed = recordSchema.safeParse(spec);
    if (!parsed.success) {
      logger.warn("Request that crashes servers is not understood", {
        object: name,
        reason: parsed.error.message,
      });
      return [];
    }
    const request = name as RequestKey;
    const { account, crashes } = parsed.data;
    this.#written.set(request, crashes.length);
    const nowMs = clock.monotonicMs();
    // Another VM's time of day: nothing is taken to lie ahead.
    const ageMs = (atMs: number) => Math.max(0, clock.wallMs() - atMs);
    return crashes.map(({ beganAtMs, endedAtMs, ...crash }) => ({
      ...crash,
      request,
      account: account as AccountId | undefined,
      life: crash.life as ServerIncarnation,
      after: crash.after as ServerIncarnation[],
      beganMs: nowMs - ageMs(beganAtMs),
      endedMs: nowMs - ageMs(endedAtMs),
    }));
  }

  async #write(request: RequestKey): Promise<void> {
    const { objectStore, crashHistory, logger } = this.#deps;
    const crashes = crashHistory.crashesOf(request);
    const key = { kind: CRASH_KIND, name: request };
    const call: StoreCall & { readonly spec: unknown } = {
      timeoutMs: CALL_TIMEOUT_MS,
      spec: this.#encode(crashes),
    };
    let done = await objectStore.create(key, call);
    if (!done.ok && done.error.tag === "conflict" && done.error.current) {
      const { revision } = done.error.current;
      done = await objectStore.replace(key, { ...call, revision });
    }
    if (done.ok) this.#written.set(request, crashes.length);
    logger.info("Request that crashes servers was written", {
      request,
      crashes: crashes.length,
      written: done.ok,
      reason: done.ok ? undefined : describeStoreError(done.error),
    });
  }

  #encode(crashes: readonly Crash[]): z.input<typeof recordSchema> {
    const { clock } = this.#deps;
    const offsetMs = clock.wallMs() - clock.monotonicMs();
    return {
      account: crashes[0]?.account,
      crashes: crashes.map((crash) => ({
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
