/** Puts together what this VM tells others, and takes in what they tell. */

import type { EntryId, InstanceId, PromptPartId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { EvidenceBook } from "../core/rollout/evidence.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { SessionBook } from "../core/rollout/session_book.ts";
import { sessionPoint, TOLD_SHARE } from "../core/rollout/session_point.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { DigestExchange } from "./digest_router.ts";

/** Loads that other VMs told longer ago than this no longer count. */
const LOAD_MAX_AGE_MS = 1_500;
/** Sessions in one digest, at most. */
const MOST_SESSIONS = 200;

/** Stands for "never", which JSON cannot say. */
const MAX_AGE_MS = 1_000_000_000;

interface Deps {
  readonly memberTable: MemberTable;
  readonly serverLoads: ServerLoads;
  readonly evidenceBook: EvidenceBook;
  readonly sessionBook: SessionBook;
  readonly releaseGate: ReleaseGate;
  readonly routingFollower: RoutingFollower;
  readonly unitHash: UnitHash;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface ToldWork {
  readonly atMs: number;
  readonly work: VmDigest["work"];
}

/** Keeps the newest digest of each VM. */
export class DigestKeeper implements DigestExchange {
  readonly #deps: Deps;
  readonly #life: number;
  readonly #work = new Map<EntryId, ToldWork>();

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#life = deps.clock.wallMs();
  }

  /** Answers a digest with that of this VM. */
  exchange(told: VmDigest): VmDigest {
    const { memberTable } = this.#deps;
    const isNew = memberTable.get(told.self.id) === undefined;
    this.hear(told);
    const digest = this.digest();
    // Who has just come wants to hear of everyone.
    if (isNew) return { ...digest, news: memberTable.everyone() };
    const news = memberTable.misjudged(told.self.id);
    return { ...digest, news: [...digest.news, ...news] };
  }

  /** What this VM tells now. */
  digest(): VmDigest {
    const { memberTable, serverLoads, releaseGate, evidenceBook } = this.#deps;
    const { confirmation } = this.#deps.routingFollower;
    const [self, ...news] = memberTable.newsToTell();
    return {
      self: self ?? memberTable.self,
      life: this.#life,
      news,
      configurationVersion: confirmation.version,
      confirmedAgeMs: Math.min(MAX_AGE_MS, Math.ceil(confirmation.ageMs)),
      work: [...serverLoads.ownWork()].map(([instance, ms]) => ({
        instance,
        ms: Math.round(ms),
      })),
      evidence: releaseGate.openOrders().flatMap(({ service }) =>
        evidenceBook.own(service)
      ),
      sessions: this.#sessions(),
      braked: [...releaseGate.brakedReleases()],
    };
  }

  /** Takes in what another VM tells. */
  hear(told: VmDigest): void {
    const { memberTable, evidenceBook, sessionBook, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    this.#noteMembers(memberTable.merge([told.self, ...told.news], nowMs));
    evidenceBook.hear(told.self.id, told);
    for (const { session, release, ageMs } of told.sessions) {
      sessionBook.note({
        session,
        release,
        seenMs: nowMs - ageMs,
        here: false,
      });
    }
    for (const key of told.braked) this.#brake(key, told.self.id);
    this.#work.set(told.self.id, { atMs: nowMs, work: told.work });
    this.#addUpWork(nowMs);
  }

  /**
   * Takes in the answer to a question that was asked at `askedMs`. Only answers date a
   * confirmation: a digest that comes unasked may have been on its way for long.
   */
  hearAnswer(told: VmDigest, askedMs: number): void {
    this.hear(told);
    this.#deps.routingFollower.hearConfirmation({
      version: told.configurationVersion,
      atMs: askedMs - told.confirmedAgeMs,
    });
  }

  /** Forgets loads that have grown old. */
  expire(): void {
    this.#addUpWork(this.#deps.clock.monotonicMs());
  }

  #sessions(): VmDigest["sessions"] {
    const { sessionBook, unitHash, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const wanted = (session: PromptPartId) =>
      sessionPoint(session, unitHash) < TOLD_SHARE;
    return sessionBook.recent(nowMs, { wanted, most: MOST_SESSIONS })
      .map(({ session, release, seenMs }) => ({
        session,
        release,
        ageMs: Math.round(nowMs - seenMs),
      }));
  }

  #noteMembers(changed: ReturnType<MemberTable["merge"]>): void {
    for (const member of changed) {
      this.#deps.logger.info("VM changed state", {
        peer: member.id,
        state: member.state,
        incarnation: member.incarnation,
      });
    }
  }

  #brake(key: VmDigest["braked"][number], by: EntryId): void {
    if (!this.#deps.releaseGate.brake(key)) return;
    this.#deps.logger.warn("Release is braked", { ...key, told_by: by });
  }

  #addUpWork(nowMs: number): void {
    const sums = new Map<InstanceId, number>();
    for (const [vm, { atMs, work }] of this.#work) {
      if (nowMs - atMs > LOAD_MAX_AGE_MS) {
        this.#work.delete(vm);
        continue;
      }
      for (const { instance, ms } of work) {
        sums.set(instance, (sums.get(instance) ?? 0) + ms);
      }
    }
    this.#deps.serverLoads.setElsewhere(sums);
  }
}
