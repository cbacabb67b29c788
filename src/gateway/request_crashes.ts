/** What one request has to do with servers that end. */

import type { TryOutcome } from "../backends/backend_try.ts";
import type { Standing } from "../core/crashes/crash_book.ts";
import type { ServerIncarnation } from "../core/ids.ts";
import { lifeOf, type ServerRecord } from "../core/servers/server_record.ts";
import { pause } from "../runtime/pause.ts";
import type { CrashWatch, WatchedRequest } from "./crash_watch.ts";
import type { AttemptRecord } from "./attempt_record.ts";

/**
 * Longest wait before a request is sent again for word whether its last server has ended. Most
 * servers refuse a connection within a millisecond, across regions within twenty; a server that
 * has fallen silent must not hold up what is innocent.
 */
const END_WAIT_MS = 100;
/** Pause before a request asks again whether it may be sent, while verdicts settle. */
const SETTLE_PAUSE_MS = 50;

/** Keeps the book of crashes for one request. */
export class RequestCrashes {
  readonly #watch: CrashWatch;
  readonly #watched: WatchedRequest;
  /** Servers that are known to have ended under the request. */
  #ended: readonly ServerIncarnation[] = [];
  /** Servers at which a try of this attempt broke off, whether or not they have ended. */
  readonly #lost: ServerIncarnation[] = [];

  constructor(watch: CrashWatch, watched: WatchedRequest) {
    this.#watch = watch;
    this.#watched = watched;
  }

  /** Waits until verdicts have settled, or `isOver`; returns how the request stands before a try. */
  async settled(isOver: () => boolean): Promise<Standing> {
    let standing = this.#watch.standing(this.#watched);
    while (standing.tag === "settling" && !isOver()) {
      await pause(SETTLE_PAUSE_MS);
      standing = this.#watch.standing(this.#watched);
    }
    this.#ended = this.#watch.endedUnder(this.#watched);
    return standing;
  }

  /** Whether servers were known to have ended under the request before this try. */
  get isSuspected(): boolean {
    return this.#ended.length > 0;
  }

  /** Whether the first byte of an answer shows that a run has begun. */
  get isStream(): boolean {
    return this.#watched.streaming;
  }

  /** Whether the request must not begin to run, wherever it is. */
  get isQuarantined(): boolean {
    return this.#watch.standing(this.#watched).tag === "quarantined";
  }

  /** Finds out what the end of a try says, before another one is made. */
  async tryEnded(
    outcome: TryOutcome,
    { server, record }: {
      server: ServerRecord;
      record: AttemptRecord | undefined;
    },
  ): Promise<void> {
    if (outcome.tag !== "broken" && outcome.tag !== "stream_broken") return;
    if (record === undefined) return;
    // What this attempt has lost came before, also where word of its end is still to come.
    const after = [...new Set([...this.#ended, ...this.#lost])];
    const broken = { server, record, after };
    this.#lost.push(lifeOf(server));
    const known = this.#watch.brokeOff(this.#watched, broken);
    await Promise.race([known, pause(END_WAIT_MS)]);
  }

  /** Notes that the request has run to a good end. */
  endedWell(): void {
    this.#watch.endedWell(this.#watched);
  }
}
