/** Follows which attempts backend servers have read, and logs those that lay unread for long. */

import type { UnackedAttempts } from "../core/servers/unacked_attempts.ts";
import {
  incarnationIdOf,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { TryRecord } from "./try_record.ts";

/** Age from which an attempt is logged that is acknowledged after all, in milliseconds. */
const LATE_MS = 2_000;

interface Deps {
  readonly unackedAttempts: UnackedAttempts;
  readonly gatewayMetrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface LateAttempt {
  readonly server: ServerRecord;
  readonly ageMs: number;
}

/** Unacknowledged attempts of one VM. */
export class AttemptAcks {
  readonly #deps: Deps;
  readonly #unacked: UnackedAttempts;
  readonly #late: BurstLog<LateAttempt>;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#unacked = deps.unackedAttempts;
    this.#late = lateLogOf(deps.logger);
  }

  /** Notes that the first byte of an attempt leaves; `onAcked` is called once it can't arrive later. */
  sent(
    server: ServerRecord,
    { record, onAcked }: { record: TryRecord; onAcked: () => void },
  ): void {
    const { gatewayMetrics, clock } = this.#deps;
    const sentMs = clock.monotonicMs();
    record.sentMs = sentMs;
    gatewayMetrics.unackedAttempts.inc({ service: server.service });
    this.#unacked.recordSent(server, {
      nowMs: sentMs,
      onAcked: () => {
        record.ackedMs = clock.monotonicMs();
        gatewayMetrics.unackedAttempts.dec({ service: server.service });
        const ageMs = record.ackedMs - sentMs;
        if (ageMs >= LATE_MS) this.#late.note([{ server, ageMs }]);
        onAcked();
      },
    });
  }

  /** Notes a byte of the answer to an attempt. */
  answered(server: ServerRecord, { sentMs, ackedMs }: TryRecord): void {
    if (sentMs !== undefined && ackedMs === undefined) {
      this.#unacked.recordAnswer(server, sentMs);
    }
    this.#unacked.recordActivity(server, this.#deps.clock.monotonicMs());
  }

  /** Notes an answer to a probe that was sent at `sentMs`. */
  probed(server: ServerRecord, sentMs: number): void {
    this.#unacked.recordAnswer(server, sentMs);
  }

  /** Notes that the connection of an attempt was closed from the other side. */
  closed(server: ServerRecord, { sentMs }: TryRecord): void {
    if (sentMs !== undefined) this.#unacked.recordClosed(server, sentMs);
  }

  /** Notes that no process listens at a server's address. */
  ended(server: ServerRecord): void {
    this.#unacked.recordServerExit(server);
  }

  /** Whether a server may have stopped: it reads what it is sent at some later time. */
  isUnresponsive(server: ServerRecord): boolean {
    return this.#unacked.isUnresponsive(
      server,
      this.#deps.clock.monotonicMs(),
    );
  }
}

function lateLogOf(logger: Logger): BurstLog<LateAttempt> {
  return new BurstLog({
    one: ({ server, ageMs }) =>
      logger.warn("Attempt was acknowledged late", {
        server: incarnationIdOf(server),
        service: server.service,
        age_ms: Math.round(ageMs),
      }),
    many: (attempts) =>
      logger.warn("Attempts were acknowledged late", {
        servers: new Set(attempts.map(({ server }) => server.instance)).size,
        count: attempts.length,
        oldest_ms: Math.round(Math.max(...attempts.map(({ ageMs }) => ageMs))),
      }),
  });
}
