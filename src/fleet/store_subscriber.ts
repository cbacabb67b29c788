/** Subscribes to the VMs that read the platform's store, to receive changes from them. */

import type { EntryId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { feedResponseSchema } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { pause } from "../runtime/pause.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";
import type { VmClients } from "./vm_clients.ts";

/**
 * How long a reader holds a request without changes. One of the readers confirms the
 * configuration every 1.4 to 1.7 s and notifies its subscribers; the requests held by the other
 * readers should not time out in the meantime. The loss of a reader is detected by missing
 * confirmations, not by this timeout.
 */
const HOLD_MS = 4_000;
/** Additional wait for an answer; round trips between VMs take a few milliseconds. */
const RESPONSE_GRACE_MS = 700;
/** Pause before retrying a reader that did not answer. */
const RETRY_PAUSE_MS = 300;
/**
 * Pause after an answer. A reader that runs another release may know kinds that are not followed
 * here, and would then answer each request immediately.
 */
const REQUEST_PAUSE_MS = 50;

interface Deps {
  readonly relayRole: FleetRelayRole;
  readonly storeSync: StoreSync;
  readonly routingFollower: RoutingFollower;
  readonly vmClients: VmClients;
  readonly clock: Clock;
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
}

/** Keeps one long-polling request open at each reader while this VM is a relay. */
export class StoreSubscriber {
  readonly #deps: Deps;
  readonly #subscribed = new Set<EntryId>();
  #stopped = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Subscribes to new readers. */
  update(): void {
    for (const reader of this.#deps.relayRole.readersToFollow()) {
      if (!this.#subscribed.has(reader.id)) void this.#subscribe(reader);
    }
  }

  /** Ends all subscriptions after their current request. */
  stop(): void {
    this.#stopped = true;
  }

  async #subscribe(reader: Member): Promise<void> {
    this.#subscribed.add(reader.id);
    this.#deps.logger.info("Subscribed to a store reader", {
      reader: reader.id,
    });
    // The first request does not wait, so it yields the age of the reader's last confirmation.
    let waitMs = 0;
    while (!this.#stopped && this.#isReader(reader)) {
      const answered = await this.#poll(reader, waitMs);
      await pause(answered ? REQUEST_PAUSE_MS : RETRY_PAUSE_MS);
      waitMs = answered ? HOLD_MS : 0;
    }
    this.#subscribed.delete(reader.id);
  }

  #isReader({ id }: Member): boolean {
    return this.#deps.relayRole.readersToFollow().some((reader) =>
      reader.id === id
    );
  }

  /** Sends one feed request; returns whether the reader answered. */
  async #poll({ id, peers }: Member, waitMs: number): Promise<boolean> {
    const { storeSync, relayRole, vmClients, clock, suspendAwareClock } =
      this.#deps;
    const { version } = this.#deps.routingFollower.confirmation;
    const request = {
      known: storeSync.known(),
      configurationVersion: version,
      waitMs,
    };
    const askedMs = clock.monotonicMs();
    const askedTrustMs = suspendAwareClock.nowMs();
    const answer = await vmClients.call(peers, {
      timeoutMs: waitMs + RESPONSE_GRACE_MS,
      invoke: async (client, signal) =>
        feedResponseSchema.parse(await client.feed.mutate(request, { signal })),
    });
    if (!answer.ok) return false;
    const { store, configurationVersion, confirmedAgeMs, heldMs } =
      answer.value;
    storeSync.hear(store);
    // A lower bound of the confirmation's time, independent of how long the answer was in transit.
    const sinceAskedMs = heldMs - confirmedAgeMs;
    this.#deps.routingFollower.receiveConfirmation({
      version: configurationVersion,
      atMs: askedTrustMs + sinceAskedMs,
    });
    if (store.reads) relayRole.recordReaderConfirmation(askedMs + sinceAskedMs);
    relayRole.recordStoreStatus(id, { lost: store.lost });
    return true;
  }
}
