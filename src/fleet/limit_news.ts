/** What VMs tell each other of limits that servers have named. */

import type { EntryId } from "../core/ids.ts";
import type {
  LimitNotice,
  ServerLimits,
} from "../core/servers/server_limits.ts";
import { incarnationIdOf } from "../core/servers/server_record.ts";
import { MOST_LIMITS, type VmDigest } from "../protocol/digest_schema.ts";
import { toldAgeMs } from "../protocol/store_schema.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";

/** Part of a digest that tells of limits. */
export type ToldLimits = VmDigest["limits"];

interface Deps {
  readonly serverLimits: ServerLimits;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Heard {
  readonly notice: LimitNotice;
  readonly from: EntryId;
}

/** Takes in limits that other VMs have heard, and tells what is known here. */
export class LimitNews {
  readonly #deps: Deps;
  readonly #log: BurstLog<Heard>;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#log = new BurstLog({
      logOne: (heard) => this.#logOne(heard),
      logMany: (heard) => this.#logMany(heard),
    });
  }

  /** What others are told: the newest limits, ended ones included. */
  news(): ToldLimits {
    const { serverLimits, clock } = this.#deps;
    if (serverLimits.isEmpty) return [];
    const nowMs = clock.monotonicMs();
    return serverLimits.notices(nowMs)
      .sort((a, b) => b.atMs - a.atMs)
      .slice(0, MOST_LIMITS)
      .map(({ life, limitPerS, atMs }) => ({
        instance: life.instance,
        bornMs: life.bornMs,
        limitPerS,
        ageMs: toldAgeMs(nowMs - atMs),
      }));
  }

  /** Takes in what another VM has told. */
  hear(told: ToldLimits, from: EntryId): void {
    const { serverLimits, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const { instance, bornMs, limitPerS, ageMs } of told) {
      const life = { instance, bornMs };
      const notice = { life, limitPerS, atMs: nowMs - ageMs };
      if (serverLimits.receive(notice)) this.#log.add([{ notice, from }]);
    }
  }

  #logOne({ notice: { life, limitPerS }, from }: Heard): void {
    const { logger } = this.#deps;
    const server = incarnationIdOf(life);
    if (limitPerS === undefined) {
      logger.info("Server names no limit any more", { server, told_by: from });
    } else {
      logger.info("Server names a limit", {
        server,
        limit_per_s: limitPerS,
        told_by: from,
      });
    }
  }

  #logMany(heard: readonly Heard[]): void {
    this.#deps.logger.info("Many servers name other limits", {
      changes: heard.length,
      limits: heard.map(({ notice: { life, limitPerS } }) =>
        `${incarnationIdOf(life)} ${limitPerS ?? "none"}`
      ).join(","),
    });
  }
}
