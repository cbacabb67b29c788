/** Long polling for changes that this VM reads from the platform's store. */

import {
  advertisedAgeMs,
  type FeedRequest,
  type FeedResponse,
} from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";

/**
 * Changes are batched for this long before they are sent, since one change often arrives as
 * several events. Small compared to the seconds within which changes must take effect.
 */
const BATCH_MS = 25;

interface Deps {
  readonly storeSync: StoreSync;
  readonly routingFollower: RoutingFollower;
  readonly clock: Clock;
}

/** Answers the feed requests of relays on a VM that reads the store. */
export interface StoreFeedHandler {
  next(question: FeedRequest): Promise<FeedResponse>;
}

/** Holds requests until there are changes, so that changes are delivered without polling delay. */
export class StoreFeed implements StoreFeedHandler {
  readonly #deps: Deps;
  readonly #heldRequests = new Set<() => void>();
  #batchTimer: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.storeSync.onUpdate(() => this.#scheduleFlush());
  }

  /** Answers immediately if the requester is out of date, otherwise on the next change. */
  async next(question: FeedRequest): Promise<FeedResponse> {
    const { storeSync, routingFollower, clock } = this.#deps;
    const receivedMs = clock.monotonicMs();
    const { known, configurationVersion, waitMs } = question;
    const theirs = { known, configurationVersion };
    if (!storeSync.isNewerThan(theirs)) await this.#nextChange(waitMs);
    const { version, ageMs } = routingFollower.confirmation;
    return {
      store: storeSync.tell(theirs),
      configurationVersion: version,
      confirmedAgeMs: advertisedAgeMs(ageMs),
      heldMs: Math.floor(clock.monotonicMs() - receivedMs),
    };
  }

  /** Answers all held requests, e.g. on shutdown. */
  flush(): void {
    clearTimeout(this.#batchTimer);
    this.#batchTimer = undefined;
    for (const answer of [...this.#heldRequests]) answer();
  }

  #nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const answer = () => {
        clearTimeout(timer);
        this.#heldRequests.delete(answer);
        resolve();
      };
      const timer = setTimeout(answer, waitMs);
      this.#heldRequests.add(answer);
    });
  }

  #scheduleFlush(): void {
    if (this.#heldRequests.size === 0) return;
    this.#batchTimer ??= setTimeout(() => this.flush(), BATCH_MS);
  }
}
