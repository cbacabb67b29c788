/**
 * Finds changes that no watch has told of. A watch may hear nothing for long: its connection
 * has died one way, or the store serves reads while its watches are stuck.
 */

import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import type { KindFollower } from "./kind_follower.ts";

/**
 * Time that a watch has to tell of a change which a read shows to exist, in milliseconds. Above
 * the pause between two watches.
 */
const WATCH_DELAY_MS = 250;

interface Deps {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Compares the store's revision with what the followers of all kinds have seen. */
export class MissedChangeDetector {
  readonly #deps: Deps;
  #followers: readonly KindFollower[] = [];
  #checking = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Sets the followers to check. */
  setFollowers(followers: readonly KindFollower[]): void {
    this.#followers = followers;
  }

  /** Lists each kind that may have changed, unseen here, up to a revision that a read has shown. */
  async check(revision: number): Promise<void> {
    if (this.#checking || this.#behind(revision).length === 0) return;
    this.#checking = true;
    const { clock, logger } = this.#deps;
    const startedMs = clock.monotonicMs();
    await pause(WATCH_DELAY_MS);
    this.#checking = false;
    for (const follower of this.#behind(revision)) {
      logger.info("Watch may have missed a change; the kind is listed", {
        kind: follower.kind,
        verified_revision: follower.verifiedRevision,
        store_revision: revision,
        waited_ms: Math.round(clock.monotonicMs() - startedMs),
      });
      follower.relist();
    }
  }

  #behind(revision: number): KindFollower[] {
    return this.#followers.filter((follower) =>
      follower.watches && !follower.verify(revision)
    );
  }
}
