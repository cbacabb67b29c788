/**
 * Which backend servers want nothing from this VM for a while, as they have said. A server that
 * is full may ask for rest; it is given all of it, whatever else is known of its health.
 */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/**
 * Longest rest that is kept, in milliseconds: a day. A server that asks for more, by mistake, gets
 * one request a day.
 */
export const MAX_BACKOFF_MS = 86_400_000;
/**
 * Pause between requests to a server that has rested, until it takes one, in milliseconds. What
 * waited for it would otherwise fill it again in one moment; one that is still full turns the
 * first request away long before the next.
 */
export const RESUME_INTERVAL_MS = 250;
/** Rests that ended this long ago are forgotten, in milliseconds: nobody came back to them. */
const FORGET_AFTER_MS = 60_000;

interface Rest {
  readonly life: ServerIncarnationKey;
  untilMs: number;
  /** Earliest time of the next request, once the rest is over. */
  nextMs: number;
}

/** Keeps the rests of servers, by the monotonic clock, from when this VM heard of them. */
export class ServerBackoffs {
  readonly #rests = new Map<InstanceId, Rest>();

  /**
   * Notes that a server wants nothing for so long, in milliseconds. A shorter rest does not
   * shorten a longer one. Returns whether the server was not resting before.
   */
  start(
    life: ServerIncarnationKey,
    { restMs, nowMs }: { restMs: number; nowMs: number },
  ): boolean {
    this.#expire(nowMs);
    const stored = this.#rests.get(life.instance);
    // A late notice of an earlier life says nothing of this one.
    if (stored !== undefined && isLaterIncarnation(stored.life, life)) {
      return false;
    }
    const known = this.#of(life);
    const untilMs = nowMs + Math.min(restMs, MAX_BACKOFF_MS);
    const resting = known !== undefined && known.untilMs > nowMs;
    if (resting && known.untilMs >= untilMs) return false;
    this.#rests.set(life.instance, { life, untilMs, nextMs: untilMs });
    return !resting;
  }

  /** When the last rest of a server ends or has ended; undefined where none is known. */
  untilMs(life: ServerIncarnationKey): number | undefined {
    return this.#of(life)?.untilMs;
  }

  /** Milliseconds until a server has rested; 0 where it has. */
  leftMs(life: ServerIncarnationKey, nowMs: number): number {
    return Math.max(0, (this.#of(life)?.untilMs ?? 0) - nowMs);
  }

  /** Milliseconds until a server may be chosen: it takes requests one by one after a rest. */
  opensInMs(life: ServerIncarnationKey, nowMs: number): number {
    return Math.max(0, (this.#of(life)?.nextMs ?? 0) - nowMs);
  }

  /** Notes that a request is about to be sent; returns whether it is the first after a rest. */
  recordSend(life: ServerIncarnationKey, nowMs: number): boolean {
    const rest = this.#of(life);
    if (rest === undefined) return false;
    const isFirst = rest.nextMs === rest.untilMs;
    rest.nextMs = nowMs + RESUME_INTERVAL_MS;
    return isFirst;
  }

  /** Notes that a server has taken a request that was sent at such a time. */
  recordAccepted(life: ServerIncarnationKey, sentMs: number): void {
    const rest = this.#of(life);
    if (rest !== undefined && sentMs >= rest.untilMs) {
      this.#rests.delete(life.instance);
    }
  }

  /** Whether no server has asked for rest lately. */
  get isEmpty(): boolean {
    return this.#rests.size === 0;
  }

  /** Number of servers that rest now. */
  count(nowMs: number): number {
    return [...this.#rests.values()].filter(({ untilMs }) => untilMs > nowMs)
      .length;
  }

  /** The rest of a server, unless it was an earlier life of it that asked. */
  #of(life: ServerIncarnationKey): Rest | undefined {
    const rest = this.#rests.get(life.instance);
    if (rest === undefined || isLaterIncarnation(life, rest.life)) {
      return undefined;
    }
    return rest;
  }

  #expire(nowMs: number): void {
    for (const [instance, { untilMs }] of this.#rests) {
      if (nowMs - untilMs > FORGET_AFTER_MS) this.#rests.delete(instance);
    }
  }
}
