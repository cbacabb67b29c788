/**
 * Tracks which attempts backend servers have acknowledged, that is, are known to have read, and
 * logs those acknowledged late.
 */

import type {
  AckEvidence,
  SentAttempt,
  UnackedAttempts,
} from "../core/servers/unacked_attempts.ts";
import type { RemovalReason } from "../core/servers/server_directory.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { AttemptRecord } from "./attempt_record.ts";

/** An acknowledgement that takes at least this long is logged. */
const LATE_ACK_MS = 2_000;

interface Deps {
  readonly unackedAttempts: UnackedAttempts;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface LateAttempt {
  readonly server: ServerRecord;
  readonly ageMs: number;
  readonly evidence: AckEvidence;
}

/** Updates the unacknowledged attempts of this VM as their connections make progress. */
export class AttemptAcks {
  readonly #deps: Deps;
  readonly #unacked: UnackedAttempts;
  readonly #late: BurstLog<LateAttempt>;
  readonly #sent = new WeakMap<AttemptRecord, SentAttempt>();

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#unacked = deps.unackedAttempts;
    this.#late = createLateLog(deps.logger);
  }

  /** Records that the first byte of an attempt is being written. */
  attemptSent(
    server: ServerRecord,
    { record, listener }: {
      record: AttemptRecord;
      /** Is told once the attempt is acknowledged, and once it cannot arrive any later. */
      listener: { onAcked(): void; onSettled(): void };
    },
  ): void {
    const { gatewayMetrics, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    record.sentMs = nowMs;
    gatewayMetrics.unackedAttempts.inc({ service: server.service });
    const sent = this.#unacked.recordSent(server, {
      nowMs,
      listener: {
        onAcked: (evidence) => {
          this.#recordAck(server, { record, evidence });
          listener.onAcked();
        },
        onSettled: () => {
          record.isSettled = true;
          listener.onSettled();
        },
      },
    });
    this.#sent.set(record, sent);
  }

  #recordAck(
    server: ServerRecord,
    { record, evidence }: { record: AttemptRecord; evidence: AckEvidence },
  ): void {
    const { gatewayMetrics, clock } = this.#deps;
    const { service } = server;
    const nowMs = clock.monotonicMs();
    record.ackedMs = nowMs;
    record.ackEvidence = evidence;
    gatewayMetrics.unackedAttempts.dec({ service });
    gatewayMetrics.ackedAttempts.inc({ service, evidence });
    const ageMs = nowMs - (record.sentMs ?? nowMs);
    if (ageMs >= LATE_ACK_MS) this.#late.add([{ server, ageMs, evidence }]);
  }

  /** Records that a byte of the response to an attempt was received. */
  responseReceived(server: ServerRecord, record: AttemptRecord): void {
    const sent = this.#sent.get(record);
    if (sent !== undefined && !record.isSettled) {
      this.#unacked.recordResponse(server, sent);
      this.#unacked.recordAnswer(server, sent.sentMs);
    }
    this.#unacked.recordActivity(server, this.#deps.clock.monotonicMs());
  }

  /** Records a response to a probe that was sent at `sentMs`. */
  probeAnswered(server: ServerRecord, sentMs: number): void {
    this.#unacked.recordAnswer(server, sentMs);
  }

  /**
   * Records that the connection of an attempt has ended from the other side. The attempt may still
   * arrive, as something between may have ended the connection, but it says nothing of a server that
   * is silent.
   */
  connectionClosed(record: AttemptRecord): void {
    const sent = this.#sent.get(record);
    if (sent !== undefined) sent.isClosed = true;
  }

  /** Records that a server gets no new work any more. */
  serverRemoved(server: ServerRecord, reason: RemovalReason): void {
    if (reason === "restarted") this.#unacked.recordRestart(server);
    if (reason === "left" || reason === "not_listed_again") {
      this.#unacked.recordDeparture(server);
    }
  }

  /**
   * Whether a server may be suspended, in which case it would read what it is sent at some later
   * time.
   */
  isUnresponsive(server: ServerRecord): boolean {
    return this.#unacked.isUnresponsive(
      server,
      this.#deps.clock.monotonicMs(),
    );
  }
}

function createLateLog(logger: Logger): BurstLog<LateAttempt> {
  return new BurstLog({
    logOne: ({ server, ageMs, evidence }) =>
      logger.warn("Backend server acknowledged an attempt late", {
        server: incarnationIdOf(server),
        service: server.service,
        age_ms: Math.round(ageMs),
        evidence,
      }),
    logMany: (attempts) =>
      logger.warn("Backend servers acknowledged attempts late", {
        servers: new Set(attempts.map(({ server }) => server.instance)).size,
        count: attempts.length,
        oldest_ms: Math.round(Math.max(...attempts.map(({ ageMs }) => ageMs))),
        evidence: [...new Set(attempts.map(({ evidence }) => evidence))].join(),
      }),
  });
}
