/** The latest unexpired digest of each VM. */

import type { EntryId, InstanceId } from "../core/ids.ts";
import {
  type ServerReport,
  sumReports,
} from "../core/servers/server_report.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";

/** Digests expire after this time, which is about four rounds. */
const MAX_AGE_MS = 1_500;

interface ReceivedDigest {
  readonly atMs: number;
  readonly digest: VmDigest;
}

/** Stores received digests and aggregates their server reports. */
export class ReceivedDigests {
  readonly #digests = new Map<EntryId, ReceivedDigest>();

  /** Stores a digest, replacing the previous one of the same VM. */
  put(digest: VmDigest, nowMs: number): void {
    this.#digests.set(digest.self.id, { atMs: nowMs, digest });
  }

  /** Removes and returns expired digests. */
  removeExpired(nowMs: number): VmDigest[] {
    const expired = [...this.#digests.values()].filter(({ atMs }) =>
      nowMs - atMs > MAX_AGE_MS
    );
    for (const { digest } of expired) this.#digests.delete(digest.self.id);
    return expired.map(({ digest }) => digest);
  }

  /** Whether an unexpired digest of this VM is held. */
  has(vm: EntryId): boolean {
    return this.#digests.has(vm);
  }

  /** VMs that are not relays and report only their own data: they follow this VM. */
  followers(): ReadonlySet<EntryId> {
    const digests = [...this.#digests.values()].map(({ digest }) => digest);
    const followers = digests.filter(({ relay }) => !relay);
    return new Set(followers.map(({ self }) => self.id));
  }

  /** Server reports sent by these VMs. */
  reportsFrom(vms: ReadonlySet<EntryId>): ServerReport[] {
    return [...vms].flatMap((vm) =>
      this.#digests.get(vm)?.digest.servers ?? []
    );
  }

  /** Aggregated server reports of all VMs except one. */
  reportsExcept(
    vm: EntryId | undefined,
  ): ReadonlyMap<InstanceId, ServerReport> {
    const latest = this.#latestFleetDigest();
    if (latest !== undefined) return sumReports(latest.servers);
    const others = [...this.#digests.values()]
      .map(({ digest }) => digest)
      .filter(({ self }) => self.id !== vm);
    return sumReports(others.flatMap(({ servers }) => servers));
  }

  /** Latest digest of the whole fleet, sent by a relay; it takes precedence over all others. */
  #latestFleetDigest(): VmDigest | undefined {
    const ofFleet = [...this.#digests.values()]
      .filter(({ digest }) => digest.scope === "fleet")
      .sort((a, b) => b.atMs - a.atMs);
    return ofFleet[0]?.digest;
  }
}
