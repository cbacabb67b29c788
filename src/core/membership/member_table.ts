/** This entry VM's view of the fleet, kept up to date by gossip that is piggybacked on probes. */

import {
  type EntryId,
  NO_REVISION,
  type Revision,
  type ServiceId,
} from "../ids.ts";
import {
  latestReachability,
  type Member,
  type MemberState,
  supersedes,
} from "./member.ts";

/** Maximum number of member updates in a message. */
const MAX_UPDATES_PER_MESSAGE = 8;
/** Number of times that an update is sent, for each doubling of the fleet size. */
const SENDS_PER_FLEET_DOUBLING = 3;
/** Retention of dead entry VMs, so that outdated updates cannot revive them. */
const DEAD_RETENTION_MS = 60_000;

/** Time that a suspected entry VM has to refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;

interface Row {
  member: Member;
  /** Whether it was leaving before it was declared dead, so that its absence is expected. */
  leftGracefully: boolean;
  /** Number of messages in which this update was sent. */
  sendCount: number;
  /** When the current state was recorded, by the monotonic clock. */
  stateSinceMs: number;
}

/** SWIM-style membership: probes, suspicion and piggybacked gossip. */
export class MemberTable {
  readonly #rows = new Map<EntryId, Row>();
  #self: Member;
  /** Counts changes of the view, so that a change is cheap to detect. */
  #viewVersion = 0;

  constructor(self: Member) {
    this.#self = self;
  }

  /** This entry VM, as advertised to others. */
  get self(): Member {
    return this.#self;
  }

  /** Increases with each change of the membership. */
  get viewVersion(): number {
    return this.#viewVersion;
  }

  /** Sets the advertised revision that is in force on this entry VM. */
  setOwnRevision(revision: Revision): void {
    this.#self = { ...this.#self, revision };
  }

  /** Sets the advertised services of which this entry VM cannot reach any server. */
  setLostServices(lostServices: readonly ServiceId[]): void {
    const sequence = (this.#self.reachability?.sequence ?? 0) + 1;
    this.#self = { ...this.#self, reachability: { sequence, lostServices } };
  }

  /** Sets the advertised addresses of this entry VM, once it listens. */
  setOwnAddresses(addresses: { callers: string; peers: string }): void {
    this.#self = { ...this.#self, ...addresses };
  }

  /** Marks this entry VM as leaving, which only a restart reverts. */
  leave(): void {
    this.#self = { ...this.#self, state: "leaving" };
    this.#viewVersion += 1;
  }

  /** Returns all other entry VMs that are not dead. */
  others(): Member[] {
    return [...this.#rows.values()]
      .map((row) => row.member)
      .filter((member) => member.state !== "dead");
  }

  /** Returns the record of an entry VM, if known. */
  get(id: EntryId): Member | undefined {
    return id === this.#self.id ? this.#self : this.#rows.get(id)?.member;
  }

  /**
   * Returns the entry VMs to advertise to callers, including this one unless it is leaving.
   * Entry VMs without a configuration would refuse every request, so they are only advertised
   * where no entry VM has a configuration.
   */
  advertisableMembers(): Member[] {
    const present = [this.#self, ...this.others()].filter((member) =>
      member.state === "alive" || member.state === "suspect"
    );
    const serving = present.filter(({ revision }) => revision > NO_REVISION);
    return serving.length > 0 ? serving : present;
  }

  /**
   * Returns the record of a VM that sent a message although it is marked suspect or dead here,
   * so that it can refute that.
   */
  suspicionToRefute(id: EntryId): Member[] {
    const member = this.#rows.get(id)?.member;
    if (member === undefined) return [];
    return member.state === "suspect" || member.state === "dead"
      ? [member]
      : [];
  }

  /** Merges updates from a message; returns the entry VMs whose state changed. */
  merge(updates: readonly Member[], nowMs: number): Member[] {
    return updates.filter((member) => this.#mergeOne(member, nowMs));
  }

  /** Marks an entry VM as suspect that failed both direct and indirect probes. */
  suspect(id: EntryId, nowMs: number): boolean {
    // Leaving entry VMs are expected to stop, so they get no time to refute.
    return this.#setState(id, { from: ["alive"], to: "suspect", nowMs }) ||
      this.#setState(id, { from: ["leaving"], to: "dead", nowMs });
  }

  /** Returns all other known entry VMs, dead or alive, except those that are leaving or have left. */
  expectedMembers(): Member[] {
    return [...this.#rows.values()]
      .filter(({ member, leftGracefully }) =>
        member.state !== "leaving" && !leftGracefully
      )
      .map(({ member }) => member);
  }

  /**
   * Declares suspects dead that did not refute in time, and returns them. Removes expired dead
   * entry VMs unless `keepDead` is set: a VM that is partitioned from the others must not remove
   * them and then count itself as the majority.
   */
  expire(nowMs: number, { keepDead }: { keepDead: boolean }): EntryId[] {
    const lost: EntryId[] = [];
    for (const [id, row] of this.#rows) {
      const stateAgeMs = nowMs - row.stateSinceMs;
      if (
        row.member.state === "suspect" && stateAgeMs >= SUSPICION_TIMEOUT_MS
      ) {
        this.#setState(id, { from: ["suspect"], to: "dead", nowMs });
        lost.push(id);
      } else if (
        !keepDead && row.member.state === "dead" &&
        stateAgeMs >= DEAD_RETENTION_MS
      ) {
        this.#rows.delete(id);
      }
    }
    return lost;
  }

  /** Returns the records for the next message: this entry VM and the least-sent updates. */
  nextGossip(): Member[] {
    const maxSends = SENDS_PER_FLEET_DOUBLING *
      Math.ceil(Math.log2(this.#rows.size + 2));
    const pending = [...this.#rows.values()]
      .filter((row) => row.sendCount < maxSends)
      .sort((a, b) => a.sendCount - b.sendCount)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    for (const row of pending) row.sendCount += 1;
    return [this.#self, ...pending.map((row) => row.member)];
  }

  /** Returns all known records, for an entry VM that has just started. */
  everyone(): Member[] {
    return [this.#self, ...[...this.#rows.values()].map((row) => row.member)];
  }

  #mergeOne(update: Member, nowMs: number): boolean {
    if (update.id === this.#self.id) return this.#refute(update);
    const row = this.#rows.get(update.id);
    if (row === undefined) {
      // Dead entry VMs are recorded too, so that a newly started VM knows the expected fleet size.
      this.#rows.set(update.id, {
        member: update,
        leftGracefully: false,
        sendCount: 0,
        stateSinceMs: nowMs,
      });
      this.#viewVersion += 1;
      return update.state !== "dead";
    }
    if (!supersedes(update, row.member)) {
      this.#mergeRevision(row, update);
      this.#mergeReachability(row, update);
      return false;
    }
    const reachability = update.incarnation === row.member.incarnation
      ? latestReachability(row.member.reachability, update.reachability)
      : update.reachability;
    const leftGracefully = update.state === "dead" &&
      row.member.state === "leaving";
    this.#rows.set(update.id, {
      member: { ...update, reachability },
      leftGracefully,
      sendCount: 0,
      stateSinceMs: nowMs,
    });
    this.#viewVersion += 1;
    return row.member.state !== update.state;
  }

  /** Takes a later revision; a delayed message with an earlier one must not replace it. */
  #mergeRevision(row: Row, update: Member): void {
    if (update.incarnation !== row.member.incarnation) return;
    if (update.revision <= row.member.revision) return;
    // The first revision is gossiped, as only VMs with a configuration are advertised.
    if (row.member.revision === NO_REVISION) row.sendCount = 0;
    row.member = { ...row.member, revision: update.revision };
  }

  /** Takes a later report on reachability, which is gossiped like a change of state. */
  #mergeReachability(row: Row, update: Member): void {
    if (update.incarnation !== row.member.incarnation) return;
    const { reachability: known } = row.member;
    const reachability = latestReachability(known, update.reachability);
    if (reachability === known) return;
    row.sendCount = 0;
    row.member = { ...row.member, reachability };
  }

  #refute(update: Member): boolean {
    const isSuspicion = update.state === "suspect" || update.state === "dead";
    const isCurrent = update.incarnation >= this.#self.incarnation;
    if (
      !isCurrent ||
      (!isSuspicion && update.incarnation === this.#self.incarnation)
    ) {
      return false;
    }
    this.#self = { ...this.#self, incarnation: update.incarnation + 1 };
    return true;
  }

  #setState(
    id: EntryId,
    { from, to, nowMs }: {
      from: readonly MemberState[];
      to: MemberState;
      nowMs: number;
    },
  ): boolean {
    const row = this.#rows.get(id);
    if (row === undefined || !from.includes(row.member.state)) return false;
    const member = { ...row.member, state: to };
    const leftGracefully = to === "dead" && row.member.state === "leaving";
    this.#rows.set(id, {
      member,
      leftGracefully,
      sendCount: 0,
      stateSinceMs: nowMs,
    });
    this.#viewVersion += 1;
    return true;
  }
}
