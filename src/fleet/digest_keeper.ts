/** Puts together what this VM tells others, and takes in what they tell. */

import type { EntryId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { EvidenceAggregator } from "../core/rollout/evidence.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type {
  SessionFilter,
  SessionTracker,
} from "../core/rollout/session_tracker.ts";
import {
  ADVERTISED_SESSION_SHARE,
  sessionHash,
} from "../core/rollout/session_hash.ts";
import type { PromptHolders } from "../core/routing/prompt_holders.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import {
  type ServerReport,
  sumReports,
} from "../core/servers/server_report.ts";
import type { UnitHash } from "../core/routing/version_choice.ts";
import {
  type DigestAnswer,
  type DigestQuestion,
  MOST_LEAVING,
  type VmDigest,
} from "../protocol/digest_schema.ts";
import { toldAgeMs } from "../protocol/store_schema.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import type { CrashNews } from "./crash_news.ts";
import type { DigestExchange } from "./digest_router.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";
import type { LimitNews } from "./limit_news.ts";
import { ToldDigests } from "./told_digests.ts";

/** Sessions in one digest, at most. */
const MOST_SESSIONS = 400;
/**
 * A relay tells a follower of sessions that it learnt of this lately. Followers ask every
 * 0.8 s, so one question may be lost. Not by when sessions were seen: over the slowest hops
 * (0.8 s to a relay, 1.2 s to the next) that is longer ago than this.
 */
const SESSION_WINDOW_MS = 2_000;
/** Counts are told with this many steps to one: the rest is noise on the wire. */
const COUNT_STEPS = 100;

interface Deps {
  readonly memberTable: MemberTable;
  readonly serverLoads: ServerLoads;
  readonly promptHolders: PromptHolders;
  readonly crashNews: CrashNews;
  readonly limitNews: LimitNews;
  readonly evidenceAggregator: EvidenceAggregator;
  readonly sessionTracker: SessionTracker;
  readonly releaseGate: ReleaseGate;
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: Pick<ServerFollower, "leaves" | "leavingLives">;
  readonly storeSync: StoreSync;
  readonly relayRole: FleetRelayRole;
  readonly unitHash: UnitHash;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Parts of a digest that depend on who is told. */
type Told = Pick<
  VmDigest,
  "scope" | "servers" | "evidence" | "sessions" | "holders"
>;

/** Keeps the newest digest of each VM. */
export class DigestKeeper implements DigestExchange {
  readonly #deps: Deps;
  readonly #life: number;
  readonly #told = new ToldDigests();
  readonly #memberNews: BurstLog<Member>;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#life = deps.clock.wallMs();
    this.#memberNews = memberNewsOf(deps.logger);
  }

  /** What this VM asks others. */
  question(): DigestQuestion {
    return {
      digest: this.#digest(this.#ofGroup()),
      known: this.#deps.storeSync.known(),
    };
  }

  /** Answers the question of another VM. */
  exchange({ digest: asked, known }: DigestQuestion): DigestAnswer {
    const { memberTable, storeSync, relayRole, crashNews } = this.#deps;
    const { id } = asked.self;
    const isNew = memberTable.get(id) === undefined || !this.#told.has(id);
    this.#hear(asked);
    const follows = relayRole.held && !asked.relay;
    const digest = this.#digest(
      follows ? this.#ofFleetBut(id, { isNew }) : this.#ofGroup(),
    );
    // Who has just come wants to hear of everyone.
    const news = isNew
      ? memberTable.everyone()
      : [...digest.news, ...memberTable.misjudged(id)];
    const crashes = crashNews.newsFor(id, asked.life);
    return {
      digest: { ...digest, news, crashes },
      store: storeSync.tell(known),
    };
  }

  /**
   * Takes in the answer to a question that was asked at `askedMs`, by the clock for ages. Only
   * answers date a confirmation: a digest that comes unasked may have been on its way for long.
   * Returns whether the other VM is a relay that is in touch with the store.
   */
  hearAnswer({ digest, store }: DigestAnswer, askedMs: number): boolean {
    this.#hear(digest);
    const inTouch = this.#deps.storeSync.hear(store);
    this.#deps.routingFollower.hearConfirmation({
      version: digest.configurationVersion,
      atMs: askedMs - digest.confirmedAgeMs,
    });
    return inTouch && digest.relay;
  }

  /** Whether a VM has told something lately. */
  hasHeard(vm: EntryId): boolean {
    return this.#told.has(vm);
  }

  /** Forgets what has grown old. */
  expire(): void {
    const { clock, evidenceAggregator, promptHolders, relayRole, crashNews } =
      this.#deps;
    crashNews.expire();
    promptHolders.setShared(relayRole.meshed);
    for (const { self, relay } of this.#told.expire(clock.monotonicMs())) {
      // Who has gone to another relay is counted there, and must not be counted twice.
      if (!relay) evidenceAggregator.removeVm(self.id);
    }
    this.#addUp();
  }

  #digest(told: Told): VmDigest {
    const { memberTable, releaseGate, relayRole, storeSync } = this.#deps;
    const { confirmation } = this.#deps.routingFollower;
    const [self, ...news] = memberTable.newsToTell();
    return {
      self: self ?? memberTable.self,
      life: this.#life,
      relay: relayRole.held,
      storeLost: storeSync.storeLost,
      news,
      configurationVersion: confirmation.version,
      confirmedAgeMs: toldAgeMs(confirmation.ageMs),
      crashes: this.#deps.crashNews.news(),
      limits: this.#deps.limitNews.news(),
      leaving: this.#deps.serverFollower.leavingLives().slice(-MOST_LEAVING),
      braked: [...releaseGate.haltedReleases()],
      ...told,
    };
  }

  /** What this VM has seen itself, and what the VMs tell that follow it. */
  #ofGroup(): Told {
    const { serverLoads, evidenceAggregator, promptHolders, clock, relayRole } =
      this.#deps;
    const followers = relayRole.held
      ? this.#told.followers()
      : new Set<EntryId>();
    const reports = [
      ...serverLoads.localReports(clock.monotonicMs()),
      ...this.#told.reportsOf(followers),
    ];
    return {
      scope: followers.size > 0 ? "group" : "own",
      servers: [...sumReports(reports).values()].map(rounded),
      evidence: this.#openServices().flatMap((service) =>
        evidenceAggregator.groupEvidence(service, followers)
      ),
      sessions: this.#sessions(({ here }) => here),
      // Where VMs follow relays, too many would be told to too many.
      holders: promptHolders.shared
        ? promptHolders.holdersToAdvertise(clock.monotonicMs())
        : [],
    };
  }

  /** What all VMs have seen but one that asks. */
  #ofFleetBut(vm: EntryId, { isNew }: { isNew: boolean }): Told {
    const { serverLoads, evidenceAggregator, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const reports = [
      ...serverLoads.localReports(nowMs),
      ...this.#told.reportsBut(vm).values(),
    ];
    const sinceMs = isNew ? -Infinity : nowMs - SESSION_WINDOW_MS;
    return {
      scope: "fleet",
      servers: [...sumReports(reports).values()].map(rounded),
      evidence: this.#openServices().flatMap((service) =>
        evidenceAggregator.allExcept(vm, service)
      ),
      sessions: this.#sessions(({ learnedAtMs }) => learnedAtMs >= sinceMs),
      holders: [],
    };
  }

  #openServices() {
    return this.#deps.releaseGate.activeOrders().map(({ service }) => service);
  }

  /** Takes in what another VM tells. */
  #hear(told: VmDigest): void {
    const { memberTable, evidenceAggregator, promptHolders, relayRole, clock } =
      this.#deps;
    const nowMs = clock.monotonicMs();
    promptHolders.mergeAdvertised(told.holders, nowMs);
    this.#deps.crashNews.hear(told.crashes, told.self.id);
    this.#deps.limitNews.hear(told.limits, told.self.id);
    for (const life of told.leaving) this.#deps.serverFollower.leaves(life);
    this.#memberNews.add(memberTable.merge([told.self, ...told.news], nowMs));
    this.#noteSessions(told, nowMs);
    for (const key of told.braked) this.#brake(key, told.self.id);
    relayRole.heardStore(told.self.id, { lost: told.storeLost });
    // Who follows a relay hears of all VMs by it, and must not count them twice.
    if (!relayRole.held && told.scope !== "fleet") return;
    evidenceAggregator.receive(told.self.id, told);
    this.#told.note(told, nowMs);
    // What a relay told of the whole fleet needs no adding up; a relay adds up in rounds.
    if (told.scope === "fleet") this.#addUp();
  }

  #noteSessions({ sessions, relay }: VmDigest, nowMs: number): void {
    const { sessionTracker, relayRole } = this.#deps;
    const here = relayRole.held && !relay;
    for (const { session, release, ageMs } of sessions) {
      const times = { seenMs: nowMs - ageMs, learnedAtMs: nowMs };
      sessionTracker.record({ session, release, ...times, here });
    }
  }

  #sessions(wanted: SessionFilter["matches"]): VmDigest["sessions"] {
    const { sessionTracker, unitHash, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    return sessionTracker.recent(nowMs, {
      matches: (seen) =>
        wanted(seen) &&
        sessionHash(seen.session, unitHash) < ADVERTISED_SESSION_SHARE,
      limit: MOST_SESSIONS,
    }).map(({ session, release, seenMs }) => ({
      session,
      release,
      ageMs: Math.round(nowMs - seenMs),
    }));
  }

  #brake(key: VmDigest["braked"][number], by: EntryId): void {
    if (!this.#deps.releaseGate.halt(key)) return;
    this.#deps.logger.warn("Release is braked", { ...key, told_by: by });
  }

  #addUp(): void {
    this.#deps.serverLoads.setPeerReports(this.#told.reportsBut(undefined));
  }
}

function memberNewsOf(logger: Logger): BurstLog<Member> {
  return new BurstLog({
    logOne: ({ id, state, incarnation }) =>
      logger.info("VM changed state", { peer: id, state, incarnation }),
    logMany: (members) =>
      logger.info("Many VMs changed state", {
        changes: members.length,
        news: members.map(({ id, state }) => `${id} ${state}`).join(","),
      }),
  });
}

function rounded(report: ServerReport): ServerReport {
  const round = (count: number) =>
    Math.round(count * COUNT_STEPS) / COUNT_STEPS;
  return {
    instance: report.instance,
    workMs: Math.round(report.workMs),
    answers: round(report.answers),
    failures: round(report.failures),
    witnesses: report.witnesses,
  };
}
