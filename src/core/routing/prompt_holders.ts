/** Tracks which servers probably have a prompt in their cache, as far as this VM knows. */

import type { InstanceId } from "../ids.ts";

/**
 * Time since its last use for which a prompt is assumed to be cached on a server, in milliseconds.
 * Loaded servers evict the least recently used prompts.
 */
const CACHED_MS = 20_000;
/** How long a new holder is advertised, in milliseconds: two digest exchanges per pair of VMs. */
const ADVERTISE_MS = 2_500;
/** Maximum number of new holders in one digest. */
const MAX_ADVERTISED = 200;
/** Maximum number of prompts tracked; the least recently used are evicted first. */
const MAX_KEYS = 20_000;

/** Identifies prompts that benefit from the same server: same model and same shared prompt part. */
export type PromptKey = string;

/** A server that has started to process a prompt. */
export interface PromptHolder {
  readonly key: PromptKey;
  readonly instance: InstanceId;
}

/** Directory of prompt holders, built from this VM's own requests and from other VMs' digests. */
export class PromptHolders {
  /** When each server was last sent each prompt. */
  readonly #lastUsedMs = new Map<PromptKey, Map<InstanceId, number>>();
  /** When servers recently ended or left, which emptied their caches. */
  readonly #endedMs = new Map<InstanceId, number>();
  #shared = true;
  #sent: { readonly holder: PromptHolder; readonly atMs: number }[] = [];

  /** Sets whether other VMs advertise their prompt holders. */
  setShared(shared: boolean): void {
    this.#shared = shared;
  }

  /** Whether other VMs advertise their holders, so that a prompt without any is cached nowhere. */
  get shared(): boolean {
    return this.#shared;
  }

  /** Records that a prompt is being sent to a server. */
  recordSent({ key, instance }: PromptHolder, nowMs: number): void {
    const servers = this.#touch(key);
    const lastUsedMs = servers.get(instance);
    servers.set(instance, nowMs);
    if (lastUsedMs !== undefined && nowMs - lastUsedMs < CACHED_MS) return;
    this.#sent.push({ holder: { key, instance }, atMs: nowMs });
  }

  /** Records that a server has ended or left; if it returns under its id, its cache is empty. */
  recordServerEnd(instance: InstanceId, nowMs: number): void {
    for (const [other, endedMs] of this.#endedMs) {
      if (nowMs - endedMs >= CACHED_MS) this.#endedMs.delete(other);
    }
    this.#endedMs.set(instance, nowMs);
  }

  /** Merges holders that another VM has advertised. */
  mergeAdvertised(holders: readonly PromptHolder[], nowMs: number): void {
    for (const { key, instance } of holders) {
      const servers = this.#touch(key);
      servers.set(instance, Math.max(servers.get(instance) ?? 0, nowMs));
    }
  }

  /** Holders recently added by this VM, which other VMs may not know yet. */
  holdersToAdvertise(nowMs: number): PromptHolder[] {
    this.#sent = this.#sent.filter(({ atMs }) => nowMs - atMs <= ADVERTISE_MS);
    return this.#sent.slice(-MAX_ADVERTISED).map(({ holder }) => holder);
  }

  /** Servers that are assumed to have a prompt in their cache. */
  holdersOf(key: PromptKey, nowMs: number): ReadonlySet<InstanceId> {
    const holders = new Set<InstanceId>();
    for (const [instance, usedMs] of this.#lastUsedMs.get(key) ?? []) {
      const endedMs = this.#endedMs.get(instance) ?? -Infinity;
      if (usedMs > endedMs && nowMs - usedMs < CACHED_MS) holders.add(instance);
    }
    return holders;
  }

  /** Returns the servers of a key and marks the key as most recently used. */
  #touch(key: PromptKey): Map<InstanceId, number> {
    const servers = this.#lastUsedMs.get(key) ?? new Map<InstanceId, number>();
    this.#lastUsedMs.delete(key);
    this.#lastUsedMs.set(key, servers);
    if (this.#lastUsedMs.size > MAX_KEYS) {
      const [oldest] = this.#lastUsedMs.keys();
      if (oldest !== undefined) this.#lastUsedMs.delete(oldest);
    }
    return servers;
  }
}
