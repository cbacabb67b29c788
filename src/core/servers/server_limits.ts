/** Rate limits that backend servers advertise for the requests of all VMs together. */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/** How long an ended limit is kept, so that a delayed older notice does not restore it. */
const ENDED_LIMIT_TTL_MS = 60_000;
/** How long a limit is kept without a new notice: no VM has sent the server a request meanwhile. */
const LIMIT_TTL_MS = 600_000;

/** The limit that a server has advertised last. */
export interface LimitNotice {
  readonly life: ServerIncarnationKey;
  /** Requests per second from all VMs; undefined if the server has withdrawn its limit. */
  readonly limitPerS: number | undefined;
  /** When it was received, by the monotonic clock. */
  readonly atMs: number;
}

/** Stores the newest notice of each server. */
export class ServerLimits {
  readonly #notices = new Map<InstanceId, LimitNotice>();

  /** Receives a notice; returns whether it changed the limit. */
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
   * Records that the answer to a request sent at `sentMs` advertises no limit; returns whether that
   * ended one. Answers to requests sent before the limit was last received are ignored, as they may
   * be older than the limit.
   */
  receiveNoLimit(server: ServerIncarnationKey, sentMs: number): boolean {
    if (this.get(server) === undefined) return false;
    return this.receive({ life: server, limitPerS: undefined, atMs: sentMs });
  }

  /** Returns the limit of a server, in requests per second; undefined if it has none. */
  get(server: ServerIncarnationKey): number | undefined {
    const notice = this.#notices.get(server.instance);
    // An earlier incarnation advertised it.
    if (notice === undefined || isLaterIncarnation(server, notice.life)) {
      return undefined;
    }
    return notice.limitPerS;
  }

  /** When the limit of a server ended; undefined if it has one, or had none recently. */
  endedAtMs(server: ServerIncarnationKey): number | undefined {
    const notice = this.#notices.get(server.instance);
    return notice === undefined || notice.limitPerS !== undefined
      ? undefined
      : notice.atMs;
  }

  /** Whether no server has advertised a limit recently. */
  get isEmpty(): boolean {
    return this.#notices.size === 0;
  }

  /** Returns all notices, including those of recently ended limits. */
  notices(nowMs: number): LimitNotice[] {
    this.#expire(nowMs);
    return [...this.#notices.values()];
  }

  /** Number of servers with a limit now. */
  count(nowMs: number): number {
    return this.notices(nowMs)
      .filter(({ limitPerS }) => limitPerS !== undefined).length;
  }

  #expire(nowMs: number): void {
    for (const [instance, { limitPerS, atMs }] of this.#notices) {
      const ttlMs = limitPerS === undefined ? ENDED_LIMIT_TTL_MS : LIMIT_TTL_MS;
      if (nowMs - atMs > ttlMs) this.#notices.delete(instance);
    }
  }
}
