/** Waits at the VMs that read the platform's store for what they learn from it. */

import type { EntryId } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { feedAnswerSchema } from "../protocol/store_schema.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import type { SuspendAwareClock } from "../runtime/suspend_aware_clock.ts";
import { pause } from "../runtime/pause.ts";
import type { RoutingFollower } from "../store/routing_follower.ts";
import type { StoreSync } from "../store/store_sync.ts";
import type { FleetRelayRole } from "./fleet_relay_role.ts";
import type { VmClients } from "./vm_clients.ts";

/**
 * How long a reader holds a question without news. One of the readers confirms the
 * configuration every 1.4 to 1.7 s and tells; what the others hold meanwhile should not
 * come back with nothing. That a reader is gone shows by confirmations, not by this.
 */
const WAIT_MS = 4_000;
/** Wait for an answer beyond that; VMs stand a few milliseconds apart. */
const GRACE_MS = 700;
/** Pause after a reader did not answer. */
const RETRY_PAUSE_MS = 300;
/**
 * Pause after an answer. A reader of another release may know kinds that are not followed
 * here, and would answer each question at once.
 */
const ASK_PAUSE_MS = 50;

interface Deps {
  readonly relayRole: FleetRelayRole;
  readonly storeSync: StoreSync;
  readonly routingFollower: RoutingFollower;
  readonly vmClients: VmClients;
  readonly clock: Clock;
  readonly suspendAwareClock: SuspendAwareClock;
  readonly logger: Logger;
}

/** Keeps one question waiting at each reader, while this VM is a relay. */
export class StoreSubscriber {
  readonly #deps: Deps;
  readonly #followed = new Set<EntryId>();
  #stopped = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Begins to follow readers that are new. */
  update(): void {
    for (const reader of this.#deps.relayRole.readersToFollow()) {
      if (!this.#followed.has(reader.id)) void this.#follow(reader);
    }
  }

  /** Asks nobody any more. */
  stop(): void {
    this.#stopped = true;
  }

  async #follow(reader: Member): Promise<void> {
    this.#followed.add(reader.id);
    this.#deps.logger.info("Reader of the store is followed", {
      reader: reader.id,
    });
    // The first answer tells at once how old the reader's last confirmation is.
    let waitMs = 0;
    while (!this.#stopped && this.#isReader(reader)) {
      const answered = await this.#ask(reader, waitMs);
      await pause(answered ? ASK_PAUSE_MS : RETRY_PAUSE_MS);
      waitMs = answered ? WAIT_MS : 0;
    }
    this.#followed.delete(reader.id);
  }

  #isReader({ id }: Member): boolean {
    return this.#deps.relayRole.readersToFollow().some((reader) =>
      reader.id === id
    );
  }

  /** Returns whether the reader answered. */
  async #ask({ id, peers }: Member, waitMs: number): Promise<boolean> {
    const { storeSync, relayRole, vmClients, clock, suspendAwareClock } =
      this.#deps;
    const question = { known: storeSync.known(), waitMs };
    const askedMs = clock.monotonicMs();
    const datedMs = suspendAwareClock.nowMs();
    const answer = await vmClients.call(peers, {
      timeoutMs: waitMs + GRACE_MS,
      ask: async (client, signal) =>
        feedAnswerSchema.parse(await client.feed.mutate(question, { signal })),
    });
    if (!answer.ok) return false;
    const { store, configurationVersion, confirmedAgeMs, heldMs } =
      answer.value;
    storeSync.hear(store);
    // The answer was made no earlier than this, however long it was on its way.
    const sinceAskedMs = heldMs - confirmedAgeMs;
    this.#deps.routingFollower.hearConfirmation({
      version: configurationVersion,
      atMs: datedMs + sinceAskedMs,
    });
    if (store.reads) relayRole.heardReader(askedMs + sinceAskedMs);
    relayRole.heardStore(id, { lost: store.lost });
    return true;
  }
}
