/**
 * Attempts that their backend servers have not shown to have read. The bytes of an attempt may lie
 * in the socket buffers of a server that has stopped, and arrive long after they were written.
 * Closing the connection does not take them back.
 */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/** Age from which an attempt is taken to be lost, in milliseconds. */
const LOST_MS = 60_000;
/** Time in which a running server reads what it is sent, and its bytes reach this VM, in milliseconds. */
const READ_MS = 100;
/** Age of an attempt from which its server is unresponsive, in milliseconds. */
export const UNRESPONSIVE_MS = 900;

interface UnackedAttempt {
  readonly sentMs: number;
  readonly onAcked: () => void;
}

interface ServerAttempts {
  life: ServerIncarnationKey;
  /** In the order in which they were sent. */
  attempts: UnackedAttempt[];
}

/** What a server has left unacknowledged. */
export interface UnackedState {
  readonly count: number;
  /** Age of the oldest, in milliseconds; 0 where there is none. */
  readonly oldestMs: number;
  /** Age of the newest, in milliseconds; 0 where there is none. */
  readonly newestMs: number;
}

/** Keeps them for all servers. */
export class UnackedAttempts {
  readonly #servers = new Map<InstanceId, ServerAttempts>();

  /** Notes that the first byte of an attempt leaves; `onAcked` is called once it can't arrive later. */
  recordSent(
    server: ServerIncarnationKey,
    { nowMs, onAcked }: { nowMs: number; onAcked: () => void },
  ): void {
    this.#of(server).attempts.push({ sentMs: nowMs, onAcked });
    // At all servers: one that never comes back is sent nothing more, and would keep its attempts.
    for (const instance of [...this.#servers.keys()]) {
      this.#ack(instance, (one) => nowMs - one.sentMs > LOST_MS);
    }
  }

  /**
   * Notes that a server has answered something that was sent at `sentMs`. It was running then, and
   * so has read all that had reached it before.
   */
  recordAnswer(server: ServerIncarnationKey, sentMs: number): void {
    const known = this.#servers.get(server.instance);
    if (known === undefined || isLaterIncarnation(known.life, server)) return;
    this.#ack(server.instance, (one) => one.sentMs <= sentMs);
  }

  /** Notes a byte of any answer: its server runs, and has read what it was sent some time before. */
  recordActivity(server: ServerIncarnationKey, nowMs: number): void {
    this.recordAnswer(server, nowMs - READ_MS);
  }

  /** Notes that the connection of an attempt was closed from the other side. */
  recordClosed({ instance }: ServerIncarnationKey, sentMs: number): void {
    this.#ack(instance, (one) => one.sentMs === sentMs);
  }

  /** Notes that no process listens at a server's address: its buffers are discarded. */
  recordServerExit({ instance }: ServerIncarnationKey): void {
    this.#ack(instance, () => true);
  }

  /** What a server has left unacknowledged. */
  state({ instance }: ServerIncarnationKey, nowMs: number): UnackedState {
    const attempts = this.#servers.get(instance)?.attempts ?? [];
    return {
      count: attempts.length,
      oldestMs: nowMs - (attempts[0]?.sentMs ?? nowMs),
      newestMs: nowMs - (attempts.at(-1)?.sentMs ?? nowMs),
    };
  }

  /** Whether a server has left an attempt unacknowledged for so long that it may have stopped. */
  isUnresponsive(server: ServerIncarnationKey, nowMs: number): boolean {
    return this.state(server, nowMs).oldestMs >= UNRESPONSIVE_MS;
  }

  #of(server: ServerIncarnationKey): ServerAttempts {
    const known = this.#servers.get(server.instance);
    // The buffers of an earlier life were discarded with it.
    if (known !== undefined && isLaterIncarnation(server, known.life)) {
      this.recordServerExit(server);
    }
    const kept = this.#servers.get(server.instance) ??
      { life: server, attempts: [] };
    this.#servers.set(server.instance, kept);
    return kept;
  }

  #ack(
    instance: InstanceId,
    isAcked: (attempt: UnackedAttempt) => boolean,
  ): void {
    const known = this.#servers.get(instance);
    if (known === undefined) return;
    const acked = known.attempts.filter(isAcked);
    if (acked.length === 0) return;
    known.attempts = known.attempts.filter((one) => !isAcked(one));
    if (known.attempts.length === 0) this.#servers.delete(instance);
    for (const { onAcked } of acked) onAcked();
  }
}
