/** Tells waiting VMs at once what this VM has read from the platform's store. */

import {
  advertisedAgeMs,
  type FeedRequest,
  type FeedResponse,
} from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";

/**
 * Time for which news are gathered before they are told, in milliseconds: a change often
 * comes as several events. Small beside the seconds in which changes must be in force.
 */
const GATHER_MS = 25;

interface Deps {
  readonly storeSync: StoreSync;
  readonly routingFollower: RoutingFollower;
  readonly clock: Clock;
}

/** Answers what relays ask of a VM that reads the store. */
export interface StoreNews {
  next(question: FeedRequest): Promise<FeedResponse>;
}

/** Holds questions until there is news, so that news go on without a round of questions. */
export class StoreFeed implements StoreNews {
  readonly #deps: Deps;
  readonly #waiting = new Set<() => void>();
  #gathering: NodeJS.Timeout | undefined;

  constructor(deps: Deps) {
    this.#deps = deps;
    deps.storeSync.onNews(() => this.#gather());
  }

  /** Answers at once where something is new already, else with the next news. */
  async next({ known, waitMs }: FeedRequest): Promise<FeedResponse> {
    const { storeSync, routingFollower, clock } = this.#deps;
    const askedMs = clock.monotonicMs();
    if (!this.#knowsMoreThan(known)) await this.#news(waitMs);
    const { version, ageMs } = routingFollower.confirmation;
    return {
      store: storeSync.tell(known),
      configurationVersion: version,
      confirmedAgeMs: advertisedAgeMs(ageMs),
      heldMs: Math.floor(clock.monotonicMs() - askedMs),
    };
  }

  /** Answers all questions, as when this VM stops. */
  flush(): void {
    clearTimeout(this.#gathering);
    this.#gathering = undefined;
    for (const answer of [...this.#waiting]) answer();
  }

  #knowsMoreThan(known: FeedRequest["known"]): boolean {
    return this.#deps.storeSync.known().some(({ kind, revision }) => {
      const asker = known.find((told) => told.kind === kind);
      return asker === undefined || asker.revision < revision;
    });
  }

  #news(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const answer = () => {
        clearTimeout(timer);
        this.#waiting.delete(answer);
        resolve();
      };
      const timer = setTimeout(answer, waitMs);
      this.#waiting.add(answer);
    });
  }

  #gather(): void {
    if (this.#waiting.size === 0) return;
    this.#gathering ??= setTimeout(() => this.flush(), GATHER_MS);
  }
}
