/** Tells other VMs at once which brittle servers have rejected requests of this one. */

import type { EntryId } from "../core/ids.ts";
import type {
  BrittleRejection,
  BrittleServers,
} from "../core/servers/brittle_servers.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";
import type { Clock } from "../runtime/clock.ts";

/** Rejections are remembered for longer than the span in which they are sent. */
const KNOWN_TTL_MS = 5_000;

interface Deps {
  readonly brittleServers: BrittleServers;
  readonly serverLoads: ServerLoads;
  readonly clock: Clock;
}

/** Sends and merges rejections of the last second. */
export class BrittleGossip {
  readonly #deps: Deps;
  /** Rejections already merged, by VM, server and number, and when they were. */
  readonly #known = new Map<string, number>();
  #sequence = 0;
  readonly #numbers = new WeakMap<BrittleRejection, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Rejections at this VM to send to other VMs. */
  rejectionsToAdvertise(): VmDigest["brittle"] {
    const { brittleServers, clock } = this.#deps;
    if (brittleServers.isEmpty) return [];
    const nowMs = clock.monotonicMs();
    return brittleServers.ownRejections(nowMs).map((rejection) => ({
      instance: rejection.instance,
      bornMs: rejection.bornMs,
      bears: rejection.bears,
      sequence: this.#numberOf(rejection),
      ageMs: nowMs - rejection.atMs,
    }));
  }

  /** Merges the rejections that another VM has sent. */
  receive(rejections: VmDigest["brittle"], from: EntryId): void {
    if (rejections.length === 0) return;
    const { brittleServers, serverLoads, clock } = this.#deps;
    const nowMs = clock.monotonicMs();
    for (const [key, atMs] of this.#known) {
      if (nowMs - atMs > KNOWN_TTL_MS) this.#known.delete(key);
    }
    for (const { instance, bornMs, bears, sequence, ageMs } of rejections) {
      const key = JSON.stringify([from, sequence]);
      const isKnown = this.#known.has(key);
      const atMs = nowMs - ageMs;
      this.#known.set(key, atMs);
      brittleServers.receiveRejection({ instance, bornMs, bears, atMs }, {
        inFlight: serverLoads.inFlight(instance),
        isKnown,
      });
    }
  }

  #numberOf(rejection: BrittleRejection): number {
    const known = this.#numbers.get(rejection);
    if (known !== undefined) return known;
    this.#sequence += 1;
    this.#numbers.set(rejection, this.#sequence);
    return this.#sequence;
  }
}
