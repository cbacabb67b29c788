/** Exchanges the rate limits that servers advertise between VMs. */

import type { EntryId } from "../core/ids.ts";
import type {
  LimitNotice,
  ServerLimits,
} from "../core/servers/server_limits.ts";
import { incarnationIdOf } from "../core/servers/server_record.ts";
import {
  MAX_DIGEST_RATE_LIMITS,
  type VmDigest,
} from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Rate limit part of a digest. */
export type LimitDigest = VmDigest["limits"];

interface Deps {
  readonly serverLimits: ServerLimits;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface ReceivedNotice {
  readonly notice: LimitNotice;
  readonly from: EntryId;
}

/** Merges rate limits received by other VMs, and lists those known here. */
export class LimitGossip {
  readonly #deps: Deps;
  readonly #log: BurstLog<ReceivedNotice>;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#log = new BurstLog({
      logOne: (received) => this.#logOne(received),
      logMany: (received) => this.#logMany(received),
    });
  }

  /** Latest rate limits to send to other VMs, including ones that ended. */
  limitsToAdvertise(): LimitDigest {
    const { serverLimits, clock } = this.#deps;
    if (serverLimits.isEmpty) return [];
    const nowMs = clock.monotonicMs();
    return serverLimits.notices(nowMs)
      .sort((a, b) => b.atMs - a.atMs)
      .slice(0, MAX_DIGEST_RATE_LIMITS)
      .map(({ life, limitPerS, atMs }) => ({
        instance: life.instance,
        bornMs: life.bornMs,
        limitPerS,
        ageMs: advertisedAgeMs(nowMs - atMs),
      }));
  }

  /** Merges the rate limits that another VM has sent. */
  receive(limits: LimitDigest, from: EntryId): void {
    const { serverLimits, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const { instance, bornMs, limitPerS, ageMs } of limits) {
      const life = { instance, bornMs };
      const notice = { life, limitPerS, atMs: nowMs - ageMs };
      if (serverLimits.receive(notice)) this.#log.add([{ notice, from }]);
    }
  }

  #logOne({ notice: { life, limitPerS }, from }: ReceivedNotice): void {
    const { logger } = this.#deps;
    const server = incarnationIdOf(life);
    if (limitPerS === undefined) {
      logger.info("Server no longer advertises a rate limit", {
        server,
        told_by: from,
      });
    } else {
      logger.info("Server advertises a rate limit", {
        server,
        limit_per_s: limitPerS,
        told_by: from,
      });
    }
  }

  #logMany(received: readonly ReceivedNotice[]): void {
    this.#deps.logger.info("Many servers changed their rate limits", {
      changes: received.length,
      limits: received.map(({ notice: { life, limitPerS } }) =>
        `${incarnationIdOf(life)} ${limitPerS ?? "none"}`
      ).join(","),
    });
  }
}
