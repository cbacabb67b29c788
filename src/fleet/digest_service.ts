/** Builds the digests that this VM sends to other VMs, and merges those that it receives. */

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
  type DigestRequest,
  type DigestResponse,
  MAX_DIGEST_LEAVING_SERVERS,
  type VmDigest,
} from "../protocol/digest_schema.ts";
import { advertisedAgeMs } from "../protocol/store_schema.ts";
import { BurstLog } from "../runtime/burst_log.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { ServerFollower } from "../store/server_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import type { UnfollowedWriter } from "../store/unfollowed_writer.ts";
import type { BrittleGossip } from "./brittle_gossip.ts";
import type { CrashGossip } from "./crash_gossip.ts";
import type { DigestHandler } from "./digest_router.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";
import type { LimitGossip } from "./limit_gossip.ts";
import { ReceivedDigests } from "./received_digests.ts";

/** Maximum number of sessions in one digest. */
const MAX_SESSIONS = 400;
/**
 * A relay sends its followers the sessions that it learnt of within this window. Followers poll
 * every 0.8 s, so one request may be lost. The window applies to when the relay learnt of a
 * session, not to when the session was last seen: over the slowest path (0.8 s to a relay, 1.2 s
 * to the next relay) the latter may be older than the window.
 */
const SESSION_WINDOW_MS = 2_000;
/** Counts are sent in steps of 1/100: smaller differences are noise that only adds bytes. */
const COUNT_PRECISION = 100;

interface Deps {
  readonly memberTable: MemberTable;
  readonly serverLoads: ServerLoads;
  readonly promptHolders: PromptHolders;
  readonly crashGossip: CrashGossip;
  readonly limitGossip: LimitGossip;
  readonly brittleGossip: BrittleGossip;
  readonly evidenceAggregator: EvidenceAggregator;
  readonly sessionTracker: SessionTracker;
  readonly releaseGate: ReleaseGate;
  readonly routingFollower: RoutingFollower;
  readonly serverFollower: Pick<ServerFollower, "leaves" | "leavingLives">;
  readonly storeSync: StoreSync;
  readonly unfollowedWriter: Pick<
    UnfollowedWriter,
    "writesToAdvertise" | "receive"
  >;
  readonly relayRole: FleetRelayRole;
  readonly unitHash: UnitHash;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Parts of a digest that depend on its recipient. */
type DigestContent = Pick<
  VmDigest,
  "scope" | "servers" | "evidence" | "sessions" | "holders"
>;

/** Exchanges digests with other VMs and keeps the latest one of each VM. */
export class DigestService implements DigestHandler {
  readonly #deps: Deps;
  readonly #incarnation: number;
  readonly #received = new ReceivedDigests();
  readonly #memberLog: BurstLog<Member>;

  constructor(deps: Deps) {
    this.#deps = deps;
    this.#incarnation = deps.clock.wallMs();
    this.#memberLog = createMemberLog(deps.logger);
  }

  /** Builds the request that this VM sends to other VMs. */
  createRequest(): DigestRequest {
    return {
      digest: this.#buildDigest(this.#groupContent()),
      known: this.#deps.storeSync.known(),
    };
  }

  /** Merges the digest of another VM and returns the answer for that VM. */
  exchange({ digest: received, known }: DigestRequest): DigestResponse {
    const { memberTable, storeSync, relayRole, crashGossip } = this.#deps;
    const { id } = received.self;
    const isNew = memberTable.get(id) === undefined || !this.#received.has(id);
    this.#merge(received);
    const fromFollower = relayRole.isRelay && !received.relay;
    const digest = this.#buildDigest(
      fromFollower ? this.#fleetContent(id, { isNew }) : this.#groupContent(),
    );
    // A VM that has just joined needs the full member list.
    const news = isNew
      ? memberTable.everyone()
      : [...digest.news, ...memberTable.suspicionToRefute(id)];
    const crashes = crashGossip.crashesFor(id, received.life);
    return {
      digest: { ...digest, news, crashes },
      store: storeSync.tell({
        known,
        configurationVersion: received.configurationVersion,
      }),
    };
  }

  /**
   * Merges the answer to a request that was sent at `askedMs` by the suspend-aware clock. Only answers
   * update the time of the last confirmation: the transit time of an unsolicited digest is
   * unknown. Returns whether the other VM is a relay that is connected to the store.
   */
  receiveAnswer({ digest, store }: DigestResponse, askedMs: number): boolean {
    this.#merge(digest);
    const inTouch = this.#deps.storeSync.hear(store);
    this.#deps.routingFollower.receiveConfirmation({
      version: digest.configurationVersion,
      atMs: askedMs - digest.confirmedAgeMs,
    });
    return inTouch && digest.relay;
  }

  /** Whether an unexpired digest of this VM is held. */
  hasRecentDigest(vm: EntryId): boolean {
    return this.#received.has(vm);
  }

  /** Removes expired digests and crashes, and updates the aggregated server reports. */
  removeExpired(): void {
    const { clock, evidenceAggregator, promptHolders, relayRole, crashGossip } =
      this.#deps;
    crashGossip.removeExpired();
    promptHolders.setShared(relayRole.isFullMesh);
    for (
      const { self, relay } of this.#received.removeExpired(clock.monotonicMs())
    ) {
      // A follower that switched to another relay is counted there and must not be counted twice.
      if (!relay) evidenceAggregator.removeVm(self.id);
    }
    this.#updatePeerReports();
  }

  #buildDigest(content: DigestContent): VmDigest {
    const { memberTable, releaseGate, relayRole, storeSync } = this.#deps;
    const { confirmation } = this.#deps.routingFollower;
    const [self, ...news] = memberTable.nextGossip();
    return {
      self: self ?? memberTable.self,
      life: this.#incarnation,
      relay: relayRole.isRelay,
      storeLost: storeSync.storeLost,
      news,
      configurationVersion: confirmation.version,
      confirmedAgeMs: advertisedAgeMs(confirmation.ageMs),
      crashes: this.#deps.crashGossip.recentCrashes(),
      limits: this.#deps.limitGossip.limitsToAdvertise(),
      brittle: this.#deps.brittleGossip.rejectionsToAdvertise(),
      leaving: this.#deps.serverFollower.leavingLives().slice(
        -MAX_DIGEST_LEAVING_SERVERS,
      ),
      writes: [...this.#deps.unfollowedWriter.writesToAdvertise()],
      braked: [...releaseGate.haltedReleases()],
      ...content,
    };
  }

  /** Local observations of this VM, plus those of its followers if it is a relay. */
  #groupContent(): DigestContent {
    const { serverLoads, evidenceAggregator, promptHolders, clock, relayRole } =
      this.#deps;
    const followers = relayRole.isRelay
      ? this.#received.followers()
      : new Set<EntryId>();
    const reports = [
      ...serverLoads.localReports(clock.monotonicMs()),
      ...this.#received.reportsFrom(followers),
    ];
    return {
      scope: followers.size > 0 ? "group" : "own",
      servers: [...sumReports(reports).values()].map(roundCounts),
      evidence: this.#openServices().flatMap((service) =>
        evidenceAggregator.groupEvidence(service, followers)
      ),
      sessions: this.#recentSessions(({ here }) => here),
      // With relays, too many holders would be sent to too many VMs.
      holders: promptHolders.shared
        ? promptHolders.holdersToAdvertise(clock.monotonicMs())
        : [],
    };
  }

  /** Observations of the whole fleet except the requesting VM. */
  #fleetContent(
    vm: EntryId,
    { isNew }: { isNew: boolean },
  ): DigestContent {
    const { serverLoads, evidenceAggregator, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    const reports = [
      ...serverLoads.localReports(nowMs),
      ...this.#received.reportsExcept(vm).values(),
    ];
    const sinceMs = isNew ? -Infinity : nowMs - SESSION_WINDOW_MS;
    return {
      scope: "fleet",
      servers: [...sumReports(reports).values()].map(roundCounts),
      evidence: this.#openServices().flatMap((service) =>
        evidenceAggregator.allExcept(vm, service)
      ),
      sessions: this.#recentSessions(({ learnedAtMs }) =>
        learnedAtMs >= sinceMs
      ),
      holders: [],
    };
  }

  #openServices() {
    return this.#deps.releaseGate.activeOrders().map(({ service }) => service);
  }

  /** Merges the digest of another VM. */
  #merge(digest: VmDigest): void {
    const { memberTable, evidenceAggregator, promptHolders, relayRole, clock } =
      this.#deps;
    const nowMs = clock.monotonicMs();
    promptHolders.mergeAdvertised(digest.holders, nowMs);
    this.#deps.crashGossip.receive(digest.crashes, digest.self.id);
    this.#deps.limitGossip.receive(digest.limits, digest.self.id);
    this.#deps.brittleGossip.receive(digest.brittle, digest.self.id);
    this.#deps.unfollowedWriter.receive(digest.writes);
    for (const life of digest.leaving) this.#deps.serverFollower.leaves(life);
    this.#memberLog.add(
      memberTable.merge([digest.self, ...digest.news], nowMs),
    );
    this.#recordSessions(digest, nowMs);
    for (const key of digest.braked) this.#haltRelease(key, digest.self.id);
    relayRole.recordStoreStatus(digest.self.id, { lost: digest.storeLost });
    // A follower receives the data of all VMs through its relay and must not count them twice.
    if (!relayRole.isRelay && digest.scope !== "fleet") return;
    evidenceAggregator.receive(digest.self.id, digest);
    this.#received.put(digest, nowMs);
    // A fleet digest is already aggregated and applies immediately; a relay aggregates per round.
    if (digest.scope === "fleet") this.#updatePeerReports();
  }

  #recordSessions({ sessions, relay }: VmDigest, nowMs: number): void {
    const { sessionTracker, relayRole } = this.#deps;
    const here = relayRole.isRelay && !relay;
    for (const { session, release, ageMs } of sessions) {
      const times = { seenMs: nowMs - ageMs, learnedAtMs: nowMs };
      sessionTracker.record({ session, release, ...times, here });
    }
  }

  #recentSessions(wanted: SessionFilter["matches"]): VmDigest["sessions"] {
    const { sessionTracker, unitHash, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    return sessionTracker.recent(nowMs, {
      matches: (seen) =>
        wanted(seen) &&
        sessionHash(seen.session, unitHash) < ADVERTISED_SESSION_SHARE,
      limit: MAX_SESSIONS,
    }).map(({ session, release, seenMs }) => ({
      session,
      release,
      ageMs: Math.round(nowMs - seenMs),
    }));
  }

  #haltRelease(key: VmDigest["braked"][number], by: EntryId): void {
    if (!this.#deps.releaseGate.halt(key)) return;
    this.#deps.logger.warn("Release halted", { ...key, told_by: by });
  }

  #updatePeerReports(): void {
    this.#deps.serverLoads.setPeerReports(
      this.#received.reportsExcept(undefined),
    );
  }
}

function createMemberLog(logger: Logger): BurstLog<Member> {
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

function roundCounts(report: ServerReport): ServerReport {
  const round = (count: number) =>
    Math.round(count * COUNT_PRECISION) / COUNT_PRECISION;
  return {
    instance: report.instance,
    workMs: Math.round(report.workMs),
    answers: round(report.answers),
    failures: round(report.failures),
    witnesses: report.witnesses,
  };
}
