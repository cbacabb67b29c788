/**
 * Attempts that their backend servers are not known to have read. The bytes of an attempt may stay in
 * the socket buffers of a stopped server and be read long after they were written, even if the
 * connection was closed meanwhile.
 */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/** Age from which an attempt counts as lost, in milliseconds. */
const ATTEMPT_TTL_MS = 60_000;
/** Time for a running server to read a request, and for its bytes to reach this VM, in milliseconds. */
const READ_DELAY_MS = 100;
/** Age of an unacknowledged attempt from which its server counts as unresponsive, in milliseconds. */
export const UNRESPONSIVE_MS = 900;

/** Why an attempt is taken for read by its server, or for one that no server can read any more. */
export type AckEvidence =
  /** A byte of its own response. */
  | "response"
  /** A byte that the server sent in response to something else. */
  | "other_response"
  /** A later incarnation of the server is known. */
  | "server_restarted"
  | "expired";

/** Called once an attempt is acknowledged. */
export type AckListener = (evidence: AckEvidence) => void;

interface UnackedAttempt {
  readonly sentMs: number;
  readonly onAcked: AckListener;
}

interface ServerAttempts {
  key: ServerIncarnationKey;
  /** In the order in which the attempts were sent. */
  attempts: UnackedAttempt[];
}

/** The unacknowledged attempts of a server. */
export interface UnackedState {
  readonly count: number;
  /** Age of the oldest attempt, in milliseconds; 0 if there is none. */
  readonly oldestMs: number;
  /** Age of the newest attempt, in milliseconds; 0 if there is none. */
  readonly newestMs: number;
}

/** Tracks the unacknowledged attempts of all servers. */
export class UnackedAttempts {
  readonly #servers = new Map<InstanceId, ServerAttempts>();

  /**
   * Records that the first byte of an attempt is written. `onAcked` is called once the server has
   * read the attempt or can no longer read it.
   */
  recordSent(
    server: ServerIncarnationKey,
    { nowMs, onAcked }: { nowMs: number; onAcked: AckListener },
  ): void {
    this.#of(server).attempts.push({ sentMs: nowMs, onAcked });
    // At all servers: one that never recovers gets no new attempts, so its old ones would stay.
    for (const instance of [...this.#servers.keys()]) {
      this.#ack(
        instance,
        "expired",
        ({ sentMs }) => nowMs - sentMs > ATTEMPT_TTL_MS,
      );
    }
  }

  /**
   * Records that a server has answered a request sent at `sentMs`. As it has run since, it has also
   * read every attempt that was sent before.
   */
  recordAnswer(server: ServerIncarnationKey, sentMs: number): void {
    const known = this.#servers.get(server.instance);
    if (known === undefined || isLaterIncarnation(known.key, server)) return;
    this.#ack(
      server.instance,
      "other_response",
      (attempt) => attempt.sentMs <= sentMs,
    );
  }

  /** Records a byte of the response to the attempt that was sent at `sentMs`. */
  recordResponse({ instance }: ServerIncarnationKey, sentMs: number): void {
    this.#ack(instance, "response", (attempt) => attempt.sentMs === sentMs);
  }

  /** Records a byte of any answer: the server runs and has read attempts older than `READ_DELAY_MS`. */
  recordActivity(server: ServerIncarnationKey, nowMs: number): void {
    this.recordAnswer(server, nowMs - READ_DELAY_MS);
  }

  /** Records that a server has restarted: what its buffers held is gone. */
  recordRestart({ instance, bornMs }: ServerIncarnationKey): void {
    const known = this.#servers.get(instance);
    if (known === undefined || isLaterIncarnation(known.key, { bornMs })) {
      return;
    }
    this.#ack(instance, "server_restarted", () => true);
  }

  /** Returns the unacknowledged attempts of a server. */
  state({ instance }: ServerIncarnationKey, nowMs: number): UnackedState {
    const attempts = this.#servers.get(instance)?.attempts ?? [];
    return {
      count: attempts.length,
      oldestMs: nowMs - (attempts[0]?.sentMs ?? nowMs),
      newestMs: nowMs - (attempts.at(-1)?.sentMs ?? nowMs),
    };
  }

  /** Whether an attempt has been unacknowledged for so long that its server may have stopped. */
  isUnresponsive(server: ServerIncarnationKey, nowMs: number): boolean {
    return this.state(server, nowMs).oldestMs >= UNRESPONSIVE_MS;
  }

  #of(server: ServerIncarnationKey): ServerAttempts {
    const known = this.#servers.get(server.instance);
    // The socket buffers of an earlier incarnation are gone.
    if (known !== undefined && isLaterIncarnation(server, known.key)) {
      this.#ack(server.instance, "server_restarted", () => true);
    }
    const kept = this.#servers.get(server.instance) ??
      { key: server, attempts: [] };
    this.#servers.set(server.instance, kept);
    return kept;
  }

  #ack(
    instance: InstanceId,
    evidence: AckEvidence,
    isAcked: (attempt: UnackedAttempt) => boolean,
  ): void {
    const known = this.#servers.get(instance);
    if (known === undefined) return;
    const acked = known.attempts.filter(isAcked);
    if (acked.length === 0) return;
    known.attempts = known.attempts.filter((attempt) => !isAcked(attempt));
    if (known.attempts.length === 0) this.#servers.delete(instance);
    for (const { onAcked } of acked) onAcked(evidence);
  }
}
