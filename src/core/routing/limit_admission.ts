/**
 * Enforces the request rate limit that a backend server advertises across all VMs, without
 * coordinating on each request. A hash assigns each server to a few owner VMs, and each owner has a
 * token bucket with its share of the limit. Other VMs borrow permits from the owners.
 */

import type { EntryId, InstanceId } from "../ids.ts";
import type { Member } from "../membership/member.ts";
import type { ServerLimits } from "../servers/server_limits.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "../servers/server_record.ts";
import {
  type UnackedAttempts,
  UNRESPONSIVE_MS,
} from "../servers/unacked_attempts.ts";
import { type LimitShare, limitShare } from "./limit_share.ts";
import { ServerOwners } from "./server_owners.ts";
import type { UnitHash } from "./version_choice.ts";

/** How long a borrowed permit is valid, in milliseconds. */
const LEASE_MS = 200;
/** How long the list of serving VMs is cached, in milliseconds. */
const SERVING_VMS_TTL_MS = 500;
/** Upper bound of the wait that is reported until a permit may be available, in milliseconds. */
const MAX_WAIT_MS = 10_000;
/**
 * Upper bound of the wait for permits that were promised to earlier callers, in milliseconds. Some
 * of them never return for their permits, and a refused caller does not retry before its own turn.
 */
const MAX_QUEUE_WAIT_MS = 2_000;

/** A possibly stalled server gets a new attempt this long after the last one, in milliseconds. */
const STALLED_PROBE_INTERVAL_MS = 20_000;

/** Fleet members that may send requests, as known to this VM. */
export interface FleetMembers {
  readonly self: Member;
  others(): Member[];
}

/** An owner's answer to a VM that requests a permit. */
export interface GrantAnswer {
  readonly granted: boolean;
  /** Milliseconds after which a retry is worthwhile; 0 if a permit was granted. */
  readonly opensInMs: number;
}

/** Holds a permit back for one request until its first byte is sent. */
export interface SendReservation {
  /** Releases the reservation and consumes a permit; returns whether the request may be sent. */
  tryAcquire(): boolean;
  /** Returns the reserved permit unless it has been acquired. */
  release(): void;
}

/** State of one rate-limited server. */
interface Bucket {
  incarnation: ServerIncarnationKey;
  isOwner: boolean;
  /** Requests that this VM may send now from its own share. */
  tokens: number;
  refilledMs: number;
  /** Expiry times of permits that were borrowed from owners. */
  borrowedUntilMs: number[];
  /** Requests with a reservation that have not been sent yet. */
  reserved: number;
  /** When all callers that were refused so far will have had their turn. */
  queuedUntilMs: number;
  /** When owners that refused a permit may be asked again. */
  readonly retryAtMs: Map<EntryId, number>;
}

const UNLIMITED: SendReservation = {
  tryAcquire: () => true,
  release: () => {},
};

/** Decides whether this VM may send requests to rate-limited servers. */
export class LimitAdmission {
  readonly #limits: ServerLimits;
  readonly #members: FleetMembers;
  readonly #clock: { monotonicMs(): number };
  readonly #unacked: UnackedAttempts;
  readonly #owners: ServerOwners;
  readonly #buckets = new Map<InstanceId, Bucket>();
  #serving: readonly Member[] = [];
  #servingMs = -Infinity;

  constructor({ serverLimits, unackedAttempts, memberTable, unitHash, clock }: {
    serverLimits: ServerLimits;
    unackedAttempts: UnackedAttempts;
    memberTable: FleetMembers;
    unitHash: UnitHash;
    clock: { monotonicMs(): number };
  }) {
    this.#limits = serverLimits;
    this.#unacked = unackedAttempts;
    this.#members = memberTable;
    this.#clock = clock;
    this.#owners = new ServerOwners({
      self: memberTable.self.id,
      vms: () => this.#servingVms(),
      unitHash,
      purpose: "limit",
      startedMs: clock.monotonicMs(),
    });
  }

  /** Whether an unreserved permit for the server is available now; always true without a limit. */
  canAcquire(server: ServerIncarnationKey): boolean {
    const share = this.#shareOf(server);
    if (share === undefined) return true;
    const bucket = this.#refreshBucket(server, share);
    return this.#permits(bucket) - bucket.reserved >= 1;
  }

  /** Estimated milliseconds until a permit is available; 0 if one is available now. */
  opensInMs(server: ServerIncarnationKey): number {
    const share = this.#shareOf(server);
    if (share === undefined || this.canAcquire(server)) return 0;
    const bucket = this.#refreshBucket(server, share);
    const nowMs = this.#clock.monotonicMs();
    const settlesInMs = this.#owners.settlesInMs(nowMs);
    if (settlesInMs > 0) return settlesInMs;
    if (bucket.isOwner) return this.#queueWaitMs(bucket, share);
    const retryAtMs = [...bucket.retryAtMs.values()]
      .filter((atMs) => atMs > nowMs);
    return retryAtMs.length === 0
      ? periodMs(share)
      : Math.min(...retryAtMs) - nowMs;
  }

  /** Reserves a permit for a request that has been routed to the server. */
  reserve(server: ServerIncarnationKey): SendReservation {
    const share = this.#shareOf(server);
    // The server may advertise a limit while the connection is being established.
    if (share === undefined) {
      return { ...UNLIMITED, tryAcquire: () => this.#consume(server) };
    }
    const bucket = this.#refreshBucket(server, share);
    bucket.reserved += 1;
    let isHeld = true;
    const release = () => {
      if (isHeld) bucket.reserved -= 1;
      isHeld = false;
    };
    const tryAcquire = () => {
      release();
      return this.#consume(server);
    };
    return { tryAcquire, release };
  }

  /** Grants another VM a permit from this VM's own share, if one is left. */
  tryGrant(server: ServerIncarnationKey): GrantAnswer {
    const share = this.#shareOf(server);
    // The limit has not reached this VM yet, so its share is unknown.
    if (share === undefined) return { granted: false, opensInMs: LEASE_MS };
    const bucket = this.#refreshBucket(server, share);
    if (bucket.isOwner && bucket.tokens - bucket.reserved >= 1) {
      bucket.tokens -= 1;
      return { granted: true, opensInMs: 0 };
    }
    if (!bucket.isOwner) return { granted: false, opensInMs: periodMs(share) };
    const opensInMs = this.#queueWaitMs(bucket, share);
    const nowMs = this.#clock.monotonicMs();
    bucket.queuedUntilMs = nowMs + opensInMs + 1 / share.perMs;
    return { granted: false, opensInMs };
  }

  /** Other owners that may be asked for a permit now. */
  ownersToAsk(server: ServerIncarnationKey): readonly EntryId[] {
    const share = this.#shareOf(server);
    if (share === undefined) return [];
    const { retryAtMs } = this.#refreshBucket(server, share);
    const nowMs = this.#clock.monotonicMs();
    const owners = this.#owners.owners(server.instance, {
      count: share.owners,
      nowMs,
    });
    return owners.filter((id) =>
      id !== this.#members.self.id && (retryAtMs.get(id) ?? 0) <= nowMs
    );
  }

  /** Records an owner's answer to a permit request. */
  recordAnswer(
    server: ServerIncarnationKey,
    { owner, granted, opensInMs }: GrantAnswer & { owner: EntryId },
  ): void {
    const share = this.#shareOf(server);
    if (share === undefined) return;
    const bucket = this.#refreshBucket(server, share);
    const nowMs = this.#clock.monotonicMs();
    if (granted) bucket.borrowedUntilMs.push(nowMs + LEASE_MS);
    else bucket.retryAtMs.set(owner, nowMs + opensInMs);
  }

  /** Drops the state of a server that no longer exists. */
  remove(instance: InstanceId): void {
    this.#buckets.delete(instance);
    this.#owners.remove(instance);
  }

  #consume(server: ServerIncarnationKey): boolean {
    const share = this.#shareOf(server);
    if (share === undefined) return true;
    const bucket = this.#refreshBucket(server, share);
    if (bucket.borrowedUntilMs.shift() !== undefined) return true;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  #shareOf(server: ServerIncarnationKey): LimitShare | undefined {
    const limitPerS = this.#limits.get(server);
    if (limitPerS === undefined) {
      // If the server advertises a limit again later, its bucket starts empty.
      this.#buckets.delete(server.instance);
      return undefined;
    }
    return limitShare(limitPerS, this.#servingVms().length);
  }

  /** Excludes leaving VMs, which get few requests, and dead ones, which get none. */
  #servingVms(): readonly Member[] {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#servingMs < SERVING_VMS_TTL_MS) return this.#serving;
    this.#servingMs = nowMs;
    this.#serving = [this.#members.self, ...this.#members.others()].filter((
      { state },
    ) => state === "alive" || state === "suspect");
    return this.#serving;
  }

  #permits({ tokens, borrowedUntilMs }: Bucket): number {
    return Math.floor(tokens) + borrowedUntilMs.length;
  }

  #queueWaitMs(bucket: Bucket, { perMs }: LimitShare): number {
    const nowMs = this.#clock.monotonicMs();
    const missing = Math.max(0, 1 + bucket.reserved - bucket.tokens);
    const queueMs = Math.min(MAX_QUEUE_WAIT_MS, bucket.queuedUntilMs - nowMs);
    return Math.min(MAX_WAIT_MS, Math.max(missing / perMs, queueMs));
  }

  /** Returns the bucket of a server after refilling it and dropping what has expired. */
  #refreshBucket(incarnation: ServerIncarnationKey, share: LimitShare): Bucket {
    const nowMs = this.#clock.monotonicMs();
    const { instance } = incarnation;
    const isOwner = this.#owners.isOwner(instance, {
      count: share.owners,
      nowMs,
    });
    const known = this.#buckets.get(instance);
    if (
      known === undefined || isLaterIncarnation(incarnation, known.incarnation)
    ) {
      const bucket = newBucket(incarnation, { isOwner, nowMs });
      this.#buckets.set(instance, bucket);
      return bucket;
    }
    // A new owner starts with an empty bucket: the previous owner may have just spent its tokens.
    const wasOwner = known.isOwner && isOwner;
    const refilled = known.tokens + share.perMs * (nowMs - known.refilledMs);
    known.tokens = wasOwner ? Math.min(share.burst, refilled) : 0;
    known.isOwner = isOwner;
    known.refilledMs = nowMs;
    for (const [id, atMs] of known.retryAtMs) {
      if (atMs <= nowMs) known.retryAtMs.delete(id);
    }
    known.borrowedUntilMs = known.borrowedUntilMs.filter((atMs) =>
      atMs > nowMs
    );
    if (this.#mayBeStalled(incarnation)) {
      known.tokens = 0;
      known.borrowedUntilMs = [];
    }
    return known;
  }

  /**
   * Whether the server may be stalled and should get no requests now. When a stalled server
   * resumes, it reads the requests buffered in the meantime in addition to newly sent ones, which
   * together could exceed the limit.
   */
  #mayBeStalled(incarnation: ServerIncarnationKey): boolean {
    const nowMs = this.#clock.monotonicMs();
    const { oldestMs, newestMs } = this.#unacked.state(incarnation, nowMs);
    return oldestMs >= UNRESPONSIVE_MS && newestMs < STALLED_PROBE_INTERVAL_MS;
  }
}

/** Time in which one owner's share yields one permit, capped at `MAX_WAIT_MS`. */
function periodMs({ perMs }: LimitShare): number {
  return Math.min(MAX_WAIT_MS, 1 / perMs);
}

function newBucket(
  incarnation: ServerIncarnationKey,
  { isOwner, nowMs }: { isOwner: boolean; nowMs: number },
): Bucket {
  return {
    incarnation,
    isOwner,
    tokens: 0,
    refilledMs: nowMs,
    borrowedUntilMs: [],
    reserved: 0,
    queuedUntilMs: 0,
    retryAtMs: new Map(),
  };
}
