/** Which backend servers take only so many requests a second from all VMs, as they have said. */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/** A limit that has ended is remembered for so long, so that older news does not bring it back. */
const REMEMBER_ENDED_MS = 60_000;
/** A limit of which nothing is heard for so long is forgotten: nobody sent there to hear of it. */
const FORGET_SILENT_MS = 600_000;

/** What a server has last said of its limit. */
export interface LimitNotice {
  readonly life: ServerIncarnationKey;
  /** Requests a second from all VMs; undefined where it has said that there is none any more. */
  readonly limitPerS: number | undefined;
  /** When it was heard, by the monotonic clock. */
  readonly atMs: number;
}

/** Keeps the newest notice of each server. */
export class ServerLimits {
  readonly #notices = new Map<InstanceId, LimitNotice>();

  /** Takes in a notice; returns whether the limit has changed by it. */
  receive(notice: LimitNotice): boolean {
    const { life, limitPerS, atMs } = notice;
    const stored = this.#notices.get(life.instance);
    if (stored === undefined) {
      this.#notices.set(life.instance, notice);
      return limitPerS !== undefined;
    }
    if (isLaterIncarnation(stored.life, life)) return false;
    const isOlder = atMs < stored.atMs ||
      (atMs === stored.atMs && limitPerS === undefined);
    if (isOlder && !isLaterIncarnation(life, stored.life)) return false;
    this.#notices.set(life.instance, notice);
    return stored.limitPerS !== limitPerS;
  }

  /**
   * Notes that an answer to a request that was sent at `sentMs` names no limit; returns whether one
   * has ended by it. An answer to a request that was sent before the limit was last heard may be
   * older than that.
   */
  receiveNoLimit(life: ServerIncarnationKey, sentMs: number): boolean {
    if (this.get(life) === undefined) return false;
    return this.receive({ life, limitPerS: undefined, atMs: sentMs });
  }

  /** The limit of a server, in requests a second; undefined where it has none. */
  get(life: ServerIncarnationKey): number | undefined {
    const notice = this.#notices.get(life.instance);
    // An earlier life has named it.
    if (notice === undefined || isLaterIncarnation(life, notice.life)) {
      return undefined;
    }
    return notice.limitPerS;
  }

  /** When the limit of a server has ended; undefined where it has one, or had none lately. */
  endedAtMs(life: ServerIncarnationKey): number | undefined {
    const notice = this.#notices.get(life.instance);
    return notice === undefined || notice.limitPerS !== undefined
      ? undefined
      : notice.atMs;
  }

  /** Whether no server has named a limit lately. */
  get isEmpty(): boolean {
    return this.#notices.size === 0;
  }

  /** All notices, those of limits that have ended lately included. */
  notices(nowMs: number): LimitNotice[] {
    this.#expire(nowMs);
    return [...this.#notices.values()];
  }

  /** Number of servers that have a limit now. */
  count(nowMs: number): number {
    return this.notices(nowMs)
      .filter(({ limitPerS }) => limitPerS !== undefined).length;
  }

  #expire(nowMs: number): void {
    for (const [instance, { limitPerS, atMs }] of this.#notices) {
      const keepMs = limitPerS === undefined
        ? REMEMBER_ENDED_MS
        : FORGET_SILENT_MS;
      if (nowMs - atMs > keepMs) this.#notices.delete(instance);
    }
  }
}
