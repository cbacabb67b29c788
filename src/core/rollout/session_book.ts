/** Remembers which release served a session last. */

import type { PromptPartId, ReleaseId } from "../ids.ts";

/** Sessions kept, at most; the oldest are forgotten first. */
const MOST_SESSIONS = 20_000;

/** A session that was seen lately. */
export interface SeenSession {
  readonly session: PromptPartId;
  readonly release: ReleaseId;
  readonly seenMs: number;
  /** When this VM learnt of it: news of other VMs come over up to three hops. */
  readonly learntMs: number;
  /** Whether this VM served the request, or a VM that follows it. */
  readonly here: boolean;
}

/** Which sessions are asked for. */
export interface SessionFilter {
  readonly wanted: (seen: SeenSession) => boolean;
  /** Sessions, at most. */
  readonly most: number;
}

/** Sessions of this VM, and those that others have told of. */
export class SessionBook {
  readonly #gapMs: number;
  /** In the order in which their last requests were learnt of. */
  readonly #seen = new Map<PromptPartId, SeenSession>();

  /** After `gapMs` without a request a session is over. */
  constructor(gapMs: number) {
    this.#gapMs = gapMs;
  }

  /** Notes a request of a session, here or elsewhere; returns what was known of it before. */
  note(seen: SeenSession): SeenSession | undefined {
    const known = this.#seen.get(seen.session);
    if (known !== undefined && known.seenMs >= seen.seenMs) return known;
    this.#seen.delete(seen.session);
    this.#seen.set(seen.session, seen);
    const [oldest] = this.#seen.keys();
    if (this.#seen.size > MOST_SESSIONS && oldest !== undefined) {
      this.#seen.delete(oldest);
    }
    return known;
  }

  /** Takes a note back, as no server has run the request, unless another came since. */
  takeBack(seen: SeenSession, before: SeenSession | undefined): void {
    const { session } = seen;
    if (this.#seen.get(session) !== seen) return;
    if (before === undefined) this.#seen.delete(session);
    else this.#seen.set(session, before);
  }

  /** Release that served a session last; undefined once the session is over. */
  releaseOf(session: PromptPartId, nowMs: number): ReleaseId | undefined {
    const seen = this.#seen.get(session);
    if (seen === undefined || nowMs - seen.seenMs > this.#gapMs) {
      return undefined;
    }
    return seen.release;
  }

  /** Sessions that are not over, those learnt of last first. */
  recent(nowMs: number, { wanted, most }: SessionFilter): SeenSession[] {
    this.#forgetOld(nowMs);
    return [...this.#seen.values()].reverse().filter(wanted).slice(0, most);
  }

  #forgetOld(nowMs: number): void {
    for (const [session, { seenMs }] of this.#seen) {
      if (nowMs - seenMs > this.#gapMs) this.#seen.delete(session);
    }
  }
}
