/**
 * Detects changes that a watch did not deliver. A watch may stay without events for long: its
 * connection has failed in one direction, or the store serves reads while its watches are stuck.
 */

import type { StorePosition } from "../platform/object_store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import type { KindFollower } from "./kind_follower.ts";

/**
 * Time allowed for a watch to deliver a change that a read has shown to exist. Longer than the
 * pause between two watches.
 */
const MAX_WATCH_LAG_MS = 250;

interface Deps {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Compares the revision of the store with the changes that all followers have seen. */
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

  /** Relists each kind that may lack a change up to a position that a read has returned. */
  async check(position: StorePosition): Promise<void> {
    if (this.#checking || this.#unverified(position).length === 0) return;
    this.#checking = true;
    const { clock, logger } = this.#deps;
    const startedMs = clock.monotonicMs();
    await pause(MAX_WATCH_LAG_MS);
    this.#checking = false;
    for (const follower of this.#unverified(position)) {
      logger.info("Watch may have missed a change; relisting the kind", {
        kind: follower.kind,
        verified_era: follower.verifiedPosition.era,
        verified_revision: follower.verifiedPosition.revision,
        store_era: position.era,
        store_revision: position.revision,
        waited_ms: Math.round(clock.monotonicMs() - startedMs),
      });
      follower.relist();
    }
  }

  #unverified(position: StorePosition): KindFollower[] {
    return this.#followers.filter((follower) =>
      follower.isWatching && !follower.verifyUpTo(position)
    );
  }
}
