/** Tracks which release last served a session. */

import type { PromptPartId, ReleaseId } from "../ids.ts";

/** Maximum number of tracked sessions; the oldest are evicted first. */
const MAX_SESSIONS = 20_000;

/** A session and the last request seen of it. */
export interface TrackedSession {
  readonly session: PromptPartId;
  readonly release: ReleaseId;
  readonly seenMs: number;
  /** When this VM learned of the request: reports of other VMs take up to three hops. */
  readonly learnedAtMs: number;
  /** Whether this VM or one of its followers served the request. */
  readonly here: boolean;
}

/** Selects the sessions to return. */
export interface SessionFilter {
  readonly matches: (seen: TrackedSession) => boolean;
  /** Maximum number of sessions. */
  readonly limit: number;
}

/** Sessions seen by this VM and reported by others. */
export class SessionTracker {
  readonly #gapMs: number;
  /** Ordered by when this VM learned of their last requests. */
  readonly #sessions = new Map<PromptPartId, TrackedSession>();

  /** A session is over after `gapMs` without a request. */
  constructor(gapMs: number) {
    this.#gapMs = gapMs;
  }

  /** Records a request of a session, from this or another VM; returns the previous entry. */
  record(seen: TrackedSession): TrackedSession | undefined {
    const known = this.#sessions.get(seen.session);
    if (known !== undefined && known.seenMs >= seen.seenMs) return known;
    this.#sessions.delete(seen.session);
    this.#sessions.set(seen.session, seen);
    const [oldest] = this.#sessions.keys();
    if (this.#sessions.size > MAX_SESSIONS && oldest !== undefined) {
      this.#sessions.delete(oldest);
    }
    return known;
  }

  /**
   * Restores the previous entry because no server has run the request, unless a newer one was
   * recorded since.
   */
  revert(seen: TrackedSession, previous: TrackedSession | undefined): void {
    const { session } = seen;
    if (this.#sessions.get(session) !== seen) return;
    if (previous === undefined) this.#sessions.delete(session);
    else this.#sessions.set(session, previous);
  }

  /** Returns the release that last served a session; undefined once the session is over. */
  releaseOf(session: PromptPartId, nowMs: number): ReleaseId | undefined {
    const seen = this.#sessions.get(session);
    if (seen === undefined || nowMs - seen.seenMs > this.#gapMs) {
      return undefined;
    }
    return seen.release;
  }

  /** Returns active sessions, most recently learned first. */
  recent(
    nowMs: number,
    { matches, limit }: SessionFilter,
  ): TrackedSession[] {
    this.#removeExpired(nowMs);
    return [...this.#sessions.values()].reverse().filter(matches).slice(
      0,
      limit,
    );
  }

  #removeExpired(nowMs: number): void {
    for (const [session, { seenMs }] of this.#sessions) {
      if (nowMs - seenMs > this.#gapMs) this.#sessions.delete(session);
    }
  }
}
