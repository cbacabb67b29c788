/** Which servers have read which prompts lately, as far as this VM knows. */

import type { InstanceId } from "../ids.ts";

/**
 * Time after its last use for which a server is taken to hold a prompt, in milliseconds:
 * loaded servers drop what was not used for longest.
 */
const HELD_MS = 20_000;
/** Time for which a new holder is told to other VMs: each pair talks twice in it. */
const TOLD_MS = 2_500;
/** New holders in one digest, at most. */
const MOST_TOLD = 200;
/** Prompts that are remembered, at most; those not used for longest are forgotten first. */
const MOST_KEYS = 20_000;

/** What prompts have in common that gain from the same server: a model and a shared part. */
export type PromptKey = string;

/** A server that has begun to read a prompt. */
export interface PromptHolder {
  readonly key: PromptKey;
  readonly instance: InstanceId;
}

/** A directory by what this VM sent and what others told. */
export class PromptHolders {
  /** When each server last got each prompt. */
  readonly #held = new Map<PromptKey, Map<InstanceId, number>>();
  /** When servers lately ended or left; what they held before is gone. */
  readonly #endedMs = new Map<InstanceId, number>();
  #shared = true;
  #sent: { readonly holder: PromptHolder; readonly atMs: number }[] = [];

  /** Tells whether other VMs tell of theirs. */
  setShared(shared: boolean): void {
    this.#shared = shared;
  }

  /** Whether other VMs tell of theirs, so that what is not known here is held nowhere. */
  get shared(): boolean {
    return this.#shared;
  }

  /** Notes that a prompt is sent to a server. */
  sent({ key, instance }: PromptHolder, nowMs: number): void {
    const servers = this.#serversOf(key);
    const known = servers.get(instance);
    servers.set(instance, nowMs);
    if (known !== undefined && nowMs - known < HELD_MS) return;
    this.#sent.push({ holder: { key, instance }, atMs: nowMs });
  }

  /** Notes that a server has ended or left: one that comes back under its id holds nothing. */
  ended(instance: InstanceId, nowMs: number): void {
    for (const [known, endedMs] of this.#endedMs) {
      if (nowMs - endedMs >= HELD_MS) this.#endedMs.delete(known);
    }
    this.#endedMs.set(instance, nowMs);
  }

  /** Takes in what another VM has sent. */
  told(holders: readonly PromptHolder[], nowMs: number): void {
    for (const { key, instance } of holders) {
      const servers = this.#serversOf(key);
      servers.set(instance, Math.max(servers.get(instance) ?? 0, nowMs));
    }
  }

  /** Holders that other VMs may not know of yet. */
  news(nowMs: number): PromptHolder[] {
    this.#sent = this.#sent.filter(({ atMs }) => nowMs - atMs <= TOLD_MS);
    return this.#sent.slice(-MOST_TOLD).map(({ holder }) => holder);
  }

  /** Servers that are taken to hold a prompt. */
  of(key: PromptKey, nowMs: number): ReadonlySet<InstanceId> {
    const holders = new Set<InstanceId>();
    for (const [instance, usedMs] of this.#held.get(key) ?? []) {
      const endedMs = this.#endedMs.get(instance) ?? -Infinity;
      if (usedMs > endedMs && nowMs - usedMs < HELD_MS) holders.add(instance);
    }
    return holders;
  }

  /** The servers of a key, which becomes the one used last. */
  #serversOf(key: PromptKey): Map<InstanceId, number> {
    const servers = this.#held.get(key) ?? new Map<InstanceId, number>();
    this.#held.delete(key);
    this.#held.set(key, servers);
    if (this.#held.size > MOST_KEYS) {
      const [oldest] = this.#held.keys();
      if (oldest !== undefined) this.#held.delete(oldest);
    }
    return servers;
  }
}
