/** The last digest of each VM, as far as it still counts. */

import type { EntryId, InstanceId } from "../core/ids.ts";
import {
  type ServerReport,
  sumReports,
} from "../core/servers/server_report.ts";
import type { VmDigest } from "../protocol/digest_schema.ts";

/** Digests older than this no longer count, in milliseconds: some four rounds. */
const MAX_AGE_MS = 1_500;

interface Told {
  readonly atMs: number;
  readonly digest: VmDigest;
}

/** Keeps what was told, and adds it up. */
export class ToldDigests {
  readonly #told = new Map<EntryId, Told>();

  /** Takes in a digest, instead of the last one of the same VM. */
  note(digest: VmDigest, nowMs: number): void {
    this.#told.set(digest.self.id, { atMs: nowMs, digest });
  }

  /** Forgets digests that are too old, and returns them. */
  expire(nowMs: number): VmDigest[] {
    const old = [...this.#told.values()].filter(({ atMs }) =>
      nowMs - atMs > MAX_AGE_MS
    );
    for (const { digest } of old) this.#told.delete(digest.self.id);
    return old.map(({ digest }) => digest);
  }

  /** Whether a VM has told something lately. */
  has(vm: EntryId): boolean {
    return this.#told.has(vm);
  }

  /** VMs that have told of themselves only, and have no relay but this VM. */
  followers(): ReadonlySet<EntryId> {
    const digests = [...this.#told.values()].map(({ digest }) => digest);
    const followers = digests.filter(({ relay }) => !relay);
    return new Set(followers.map(({ self }) => self.id));
  }

  /** Reports of servers by these VMs. */
  reportsOf(vms: ReadonlySet<EntryId>): ServerReport[] {
    return [...vms].flatMap((vm) => this.#told.get(vm)?.digest.servers ?? []);
  }

  /** Reports of all VMs but one, added up. */
  reportsBut(vm: EntryId | undefined): ReadonlyMap<InstanceId, ServerReport> {
    const newest = this.#newestOfFleet();
    if (newest !== undefined) return sumReports(newest.servers);
    const others = [...this.#told.values()]
      .map(({ digest }) => digest)
      .filter(({ self }) => self.id !== vm);
    return sumReports(others.flatMap(({ servers }) => servers));
  }

  /** What a relay has told of the whole fleet, which goes before all else. */
  #newestOfFleet(): VmDigest | undefined {
    const ofFleet = [...this.#told.values()]
      .filter(({ digest }) => digest.scope === "fleet")
      .sort((a, b) => b.atMs - a.atMs);
    return ofFleet[0]?.digest;
  }
}
