/**
 * Backoff that backend servers have requested from this VM. A server at capacity may request a
 * pause; it is honoured in full, whatever else is known of the server's health.
 */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/**
 * Longest backoff that is honoured, in milliseconds: a day. A server that requests more by mistake
 * still gets one request a day.
 */
export const MAX_BACKOFF_MS = 86_400_000;
/**
 * Interval between requests to a server after its backoff until it accepts one, in milliseconds.
 * Otherwise the requests that waited for the server would fill it again immediately. A server that is still at
 * capacity rejects the first request long before the next one is due.
 */
export const RESUME_INTERVAL_MS = 250;
/** How long an ended backoff is kept if no request follows it, in milliseconds. */
const ENTRY_TTL_MS = 60_000;

interface Backoff {
  readonly server: ServerIncarnationKey;
  untilMs: number;
  /** Earliest time of the next request; equals `untilMs` until the first one after the backoff. */
  nextMs: number;
}

/** Stores the backoffs of servers, by the monotonic clock, from when this VM received them. */
export class ServerBackoffs {
  readonly #backoffs = new Map<InstanceId, Backoff>();

  /**
   * Starts a backoff of `restMs` milliseconds. A shorter backoff does not shorten a longer one.
   * Returns whether the server was not in backoff before.
   */
  start(
    server: ServerIncarnationKey,
    { restMs, nowMs }: { restMs: number; nowMs: number },
  ): boolean {
    this.#expire(nowMs);
    const stored = this.#backoffs.get(server.instance);
    // A delayed notice of an earlier incarnation does not apply to the current one.
    if (stored !== undefined && isLaterIncarnation(stored.server, server)) {
      return false;
    }
    const known = this.#get(server);
    const untilMs = nowMs + Math.min(restMs, MAX_BACKOFF_MS);
    const isBackingOff = known !== undefined && known.untilMs > nowMs;
    if (isBackingOff && known.untilMs >= untilMs) return false;
    this.#backoffs.set(server.instance, { server, untilMs, nextMs: untilMs });
    return !isBackingOff;
  }

  /** When the last backoff of a server ends or ended; undefined if none is known. */
  untilMs(server: ServerIncarnationKey): number | undefined {
    return this.#get(server)?.untilMs;
  }

  /** Milliseconds until the backoff of a server ends; 0 if it is not in backoff. */
  leftMs(server: ServerIncarnationKey, nowMs: number): number {
    return Math.max(0, (this.#get(server)?.untilMs ?? 0) - nowMs);
  }

  /** Milliseconds until the next request may be sent to a server, also between the first ones after a backoff. */
  opensInMs(server: ServerIncarnationKey, nowMs: number): number {
    return Math.max(0, (this.#get(server)?.nextMs ?? 0) - nowMs);
  }

  /** Records that a request is about to be sent; returns whether it is the first after a backoff. */
  recordSend(server: ServerIncarnationKey, nowMs: number): boolean {
    const backoff = this.#get(server);
    if (backoff === undefined) return false;
    const isFirst = backoff.nextMs === backoff.untilMs;
    backoff.nextMs = nowMs + RESUME_INTERVAL_MS;
    return isFirst;
  }

  /** Records that a server accepted a request that was sent at `sentMs`. */
  recordAccepted(server: ServerIncarnationKey, sentMs: number): void {
    const backoff = this.#get(server);
    if (backoff !== undefined && sentMs >= backoff.untilMs) {
      this.#backoffs.delete(server.instance);
    }
  }

  /** Whether no server has requested a backoff recently. */
  get isEmpty(): boolean {
    return this.#backoffs.size === 0;
  }

  /** Number of servers in backoff now. */
  count(nowMs: number): number {
    return [...this.#backoffs.values()].filter(({ untilMs }) => untilMs > nowMs)
      .length;
  }

  /** Returns the backoff of a server, unless an earlier incarnation requested it. */
  #get(server: ServerIncarnationKey): Backoff | undefined {
    const backoff = this.#backoffs.get(server.instance);
    if (backoff === undefined || isLaterIncarnation(server, backoff.server)) {
      return undefined;
    }
    return backoff;
  }

  #expire(nowMs: number): void {
    for (const [instance, { untilMs }] of this.#backoffs) {
      if (nowMs - untilMs > ENTRY_TTL_MS) this.#backoffs.delete(instance);
    }
  }
}
