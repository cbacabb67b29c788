/** Which entry VMs there are, as this one sees it; news spreads with probes. */

import { type EntryId, NO_REVISION, type Revision } from "../ids.ts";
import { isNewer, type Member, type MemberState } from "./member.ts";

/** Members that one message carries, at most. */
const NEWS_PER_MESSAGE = 8;
/** Times that a piece of news is passed on, for each doubling of the fleet. */
const SPREAD_FACTOR = 3;
/** How long a dead entry VM is remembered, so that old news cannot revive it. */
const FORGET_DEAD_MS = 60_000;

/** How long a suspected entry VM has to refute, in milliseconds. */
export const SUSPICION_MS = 3_000;

interface Row {
  member: Member;
  /** Whether it left before it died, and so is not missed. */
  left: boolean;
  /** Times that this news was put into a message. */
  told: number;
  /** When the state was learnt, by the monotonic clock. */
  sinceMs: number;
}

/** Membership by probes, suspicion and piggybacked news. */
export class MemberTable {
  readonly #rows = new Map<EntryId, Row>();
  #self: Member;
  /** Counts of changes of the view; lets others notice one cheaply. */
  #changes = 0;

  constructor(self: Member) {
    this.#self = self;
  }

  /** This entry VM, as it tells others. */
  get self(): Member {
    return this.#self;
  }

  /** Grows with each change of who is there. */
  get changes(): number {
    return this.#changes;
  }

  /** Tells others which revision this entry VM has in force. */
  setOwnRevision(revision: Revision): void {
    this.#self = { ...this.#self, revision };
  }

  /** Tells others where this entry VM listens, once that is known. */
  setOwnAddresses(addresses: { callers: string; peers: string }): void {
    this.#self = { ...this.#self, ...addresses };
  }

  /** Marks this entry VM as leaving; it cannot come back without a restart. */
  leave(): void {
    this.#self = { ...this.#self, state: "leaving" };
    this.#changes += 1;
  }

  /** All other entry VMs that are not dead. */
  others(): Member[] {
    return [...this.#rows.values()]
      .map((row) => row.member)
      .filter((member) => member.state !== "dead");
  }

  /** What is known of one entry VM. */
  get(id: EntryId): Member | undefined {
    return id === this.#self.id ? this.#self : this.#rows.get(id)?.member;
  }

  /**
   * Entry VMs that callers may be told of, this one included unless it leaves. Those that
   * have no configuration yet could only refuse, so they are named where all are so.
   */
  callable(): Member[] {
    const present = [this.#self, ...this.others()].filter((member) =>
      member.state === "alive" || member.state === "suspect"
    );
    const serving = present.filter(({ revision }) => revision > NO_REVISION);
    return serving.length > 0 ? serving : present;
  }

  /** What this VM believes of one that talks to it, where that is wrong. */
  misjudged(id: EntryId): Member[] {
    const member = this.#rows.get(id)?.member;
    if (member === undefined) return [];
    return member.state === "suspect" || member.state === "dead"
      ? [member]
      : [];
  }

  /** Takes in news from a message; returns the entry VMs whose state changed. */
  merge(news: readonly Member[], nowMs: number): Member[] {
    return news.filter((member) => this.#mergeOne(member, nowMs));
  }

  /** Notes that an entry VM answered a probe with this about itself. */
  answered(member: Member, nowMs: number): Member[] {
    return this.merge([member], nowMs);
  }

  /** Notes that an entry VM missed a probe, direct and by way of others. */
  suspect(id: EntryId, nowMs: number): boolean {
    // Leaving entry VMs are expected to stop, so nothing waits for their word.
    return this.#setState(id, { from: ["alive"], to: "suspect", nowMs }) ||
      this.#setState(id, { from: ["leaving"], to: "dead", nowMs });
  }

  /** Other entry VMs that are there or are missed: all that are known, but those that left. */
  expected(): Member[] {
    return [...this.#rows.values()]
      .filter(({ member, left }) => member.state !== "leaving" && !left)
      .map(({ member }) => member);
  }

  /**
   * Gives up on suspects that did not refute. Forgets the long dead, unless `keepDead`:
   * who is cut off must not come to take itself for the majority.
   */
  expire(nowMs: number, { keepDead }: { keepDead: boolean }): EntryId[] {
    const lost: EntryId[] = [];
    for (const [id, row] of this.#rows) {
      const age = nowMs - row.sinceMs;
      if (row.member.state === "suspect" && age >= SUSPICION_MS) {
        this.#setState(id, { from: ["suspect"], to: "dead", nowMs });
        lost.push(id);
      } else if (
        !keepDead && row.member.state === "dead" && age >= FORGET_DEAD_MS
      ) {
        this.#rows.delete(id);
      }
    }
    return lost;
  }

  /** Returns what to put into the next message: this entry VM and the least told news. */
  newsToTell(): Member[] {
    const limit = SPREAD_FACTOR * Math.ceil(Math.log2(this.#rows.size + 2));
    const fresh = [...this.#rows.values()]
      .filter((row) => row.told < limit)
      .sort((a, b) => a.told - b.told)
      .slice(0, NEWS_PER_MESSAGE);
    for (const row of fresh) row.told += 1;
    return [this.#self, ...fresh.map((row) => row.member)];
  }

  /** All that is known, for an entry VM that has just started. */
  everyone(): Member[] {
    return [this.#self, ...[...this.#rows.values()].map((row) => row.member)];
  }

  #mergeOne(news: Member, nowMs: number): boolean {
    if (news.id === this.#self.id) return this.#refute(news);
    const row = this.#rows.get(news.id);
    if (row === undefined) {
      // The dead are noted too, so that a newcomer knows how many there should be.
      this.#rows.set(news.id, {
        member: news,
        left: false,
        told: 0,
        sinceMs: nowMs,
      });
      this.#changes += 1;
      return news.state !== "dead";
    }
    if (!isNewer(news, row.member)) {
      this.#noteRevision(row, news);
      return false;
    }
    const left = news.state === "dead" && row.member.state === "leaving";
    this.#rows.set(news.id, { member: news, left, told: 0, sinceMs: nowMs });
    this.#changes += 1;
    return row.member.state !== news.state;
  }

  /** A revision told late is no reason to forget a newer one. */
  #noteRevision(row: Row, news: Member): void {
    if (news.incarnation !== row.member.incarnation) return;
    if (news.revision <= row.member.revision) return;
    // Callers are told of those that have a configuration, so the first one is news.
    if (row.member.revision === NO_REVISION) row.told = 0;
    row.member = { ...row.member, revision: news.revision };
  }

  #refute(news: Member): boolean {
    const wrong = news.state === "suspect" || news.state === "dead";
    const outdated = news.incarnation >= this.#self.incarnation;
    if (!outdated || (!wrong && news.incarnation === this.#self.incarnation)) {
      return false;
    }
    this.#self = { ...this.#self, incarnation: news.incarnation + 1 };
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
    const left = to === "dead" && row.member.state === "leaving";
    this.#rows.set(id, { member, left, told: 0, sinceMs: nowMs });
    this.#changes += 1;
    return true;
  }
}
