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
  | "server_left"
  | "expired";

/** Is told what becomes known of one attempt, in the order of its methods and once each. */
export interface AckListener {
  /**
   * The attempt is acknowledged. Where other responses show it, it may still arrive, if its own
   * connection is held back.
   */
  onAcked(evidence: AckEvidence): void;
  /** The attempt cannot arrive any later. */
  onSettled(): void;
}

/** An attempt of which at least one byte was written. */
export interface SentAttempt {
  readonly sentMs: number;
  readonly listener: AckListener;
  /** Whether its connection has ended from the other side. */
  isClosed: boolean;
}

interface ServerAttempts {
  key: ServerIncarnationKey;
  /** Attempts that are not acknowledged, in the order in which they were sent. */
  readonly unacked: Set<SentAttempt>;
  /** Attempts acknowledged by other responses only, in the order in which they were sent. */
  readonly unsettled: Set<SentAttempt>;
}

/** The attempts that a server is silent about: they are unacknowledged, and their connections have not ended. */
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

  /** Records that the first byte of an attempt is written. */
  recordSent(
    server: ServerIncarnationKey,
    { nowMs, listener }: { nowMs: number; listener: AckListener },
  ): SentAttempt {
    const sent = { sentMs: nowMs, listener, isClosed: false };
    this.#of(server).unacked.add(sent);
    // At all servers: one that never recovers gets no new attempts, so its old ones would stay.
    for (const { key, unacked, unsettled } of [...this.#servers.values()]) {
      const expired = [unacked, unsettled]
        .flatMap((attempts) => sentUntil(attempts, nowMs - ATTEMPT_TTL_MS))
        .filter(({ sentMs }) => nowMs - sentMs > ATTEMPT_TTL_MS);
      this.#settle(key, "expired", expired);
    }
    return sent;
  }

  /**
   * Records that a server has answered a request sent at `sentMs`. As it has run since, it has also
   * read what was sent before, unless something between holds a connection back.
   */
  recordAnswer(server: ServerIncarnationKey, sentMs: number): void {
    const known = this.#servers.get(server.instance);
    if (known === undefined || isLaterIncarnation(known.key, server)) return;
    for (const attempt of sentUntil(known.unacked, sentMs)) {
      known.unacked.delete(attempt);
      known.unsettled.add(attempt);
      attempt.listener.onAcked("other_response");
    }
  }

  /** Records a byte of the response to an attempt. */
  recordResponse(server: ServerIncarnationKey, sent: SentAttempt): void {
    this.#settle(server, "response", [sent]);
  }

  /** Records a byte of any answer: the server runs and has read attempts older than `READ_DELAY_MS`. */
  recordActivity(server: ServerIncarnationKey, nowMs: number): void {
    this.recordAnswer(server, nowMs - READ_DELAY_MS);
  }

  /** Records that a server has restarted: what its buffers held is gone. */
  recordRestart(server: ServerIncarnationKey): void {
    const known = this.#servers.get(server.instance);
    if (known === undefined || isLaterIncarnation(known.key, server)) return;
    this.#settle(server, "server_restarted", [
      ...known.unsettled,
      ...known.unacked,
    ]);
  }

  /**
   * Records that a server has left the list: it has ended, or will soon. What it is not known to
   * have read may still arrive, as a server that is only suspended leaves the list as well.
   */
  recordDeparture(server: ServerIncarnationKey): void {
    const known = this.#servers.get(server.instance);
    if (known === undefined || isLaterIncarnation(known.key, server)) return;
    this.#settle(server, "server_left", [...known.unsettled]);
  }

  /** Returns the attempts that a server is silent about. */
  state({ instance }: ServerIncarnationKey, nowMs: number): UnackedState {
    const attempts = [...this.#servers.get(instance)?.unacked ?? []]
      .filter(({ isClosed }) => !isClosed);
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
      this.recordRestart(known.key);
    }
    const kept = this.#servers.get(server.instance) ??
      { key: server, unacked: new Set(), unsettled: new Set() };
    this.#servers.set(server.instance, kept);
    return kept;
  }

  /** Settles attempts at a server, and acknowledges those of them that are not yet. */
  #settle(
    { instance }: ServerIncarnationKey,
    evidence: AckEvidence,
    attempts: readonly SentAttempt[],
  ): void {
    const known = this.#servers.get(instance);
    if (known === undefined) return;
    for (const attempt of attempts) {
      const isUnacked = known.unacked.delete(attempt);
      if (!isUnacked && !known.unsettled.delete(attempt)) continue;
      if (isUnacked) attempt.listener.onAcked(evidence);
      attempt.listener.onSettled();
    }
    if (known.unacked.size + known.unsettled.size === 0) {
      this.#servers.delete(instance);
    }
  }
}

/** Returns the first of these attempts, which are in the order in which they were sent, up to a time. */
function sentUntil(
  attempts: ReadonlySet<SentAttempt>,
  untilMs: number,
): SentAttempt[] {
  const sent: SentAttempt[] = [];
  for (const attempt of attempts) {
    if (attempt.sentMs > untilMs) break;
    sent.push(attempt);
  }
  return sent;
}
