/**
 * Bounds what a backend server that names a limit gets from all VMs together, without talking for
 * each request: it belongs to a few VMs by hash, and each of these may send it a part of the limit.
 * The others send it what an owner lends them of its own part.
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
import { type LimitPart, limitPart } from "./limit_part.ts";
import { ServerOwners } from "./server_owners.ts";
import type { UnitHash } from "./version_choice.ts";

/** How long a place that was lent may be used, in milliseconds. */
const LOAN_MS = 200;
/** How long the list of VMs that serve is kept before it is looked up anew, in milliseconds. */
const KEEP_VMS_MS = 500;
/** Longest time that is told until there may be a place, in milliseconds. */
const LONGEST_WAIT_MS = 10_000;
/**
 * Longest time that others who wait for places are put before one that asks, in milliseconds. Not
 * all of them come for their turns, and until its own turn who asked does not ask again.
 */
const LONGEST_QUEUE_MS = 2_000;

/** Time without an attempt after which a server that may have stopped gets one, in milliseconds. */
const PROBE_MS = 20_000;

/** VMs that this one knows and that may send requests. */
export interface LivingVms {
  readonly self: Member;
  others(): Member[];
}

/** What an owner answers to a VM that asks for a place. */
export interface Lent {
  readonly granted: boolean;
  /** Milliseconds until it is worth asking again; 0 where a place was granted. */
  readonly opensInMs: number;
}

/** A place for one request at a server, asked for again at its first byte. */
export interface SendPlace {
  /** Whether the request may be sent; counts it if so. */
  take(): boolean;
  /** Gives the place back if it was not taken. */
  release(): void;
}

/** What is kept of a server that has a limit. */
interface Bucket {
  life: ServerIncarnationKey;
  isOwner: boolean;
  /** Requests that may be sent now, as an owner. */
  tokens: number;
  refilledMs: number;
  /** Until when places that others have lent may be used. */
  loansUntilMs: number[];
  /** Requests that were given a place and have not left yet. */
  waiting: number;
  /** When those that were refused a place so far will all have had one. */
  promisedMs: number;
  /** When it is worth asking owners again that have lent nothing. */
  readonly askAgainMs: Map<EntryId, number>;
}

const FREE_PLACE: SendPlace = { take: () => true, release: () => {} };

/** Says whether this VM may send requests to servers that name limits. */
export class LimitAdmission {
  readonly #limits: ServerLimits;
  readonly #vms: LivingVms;
  readonly #clock: { monotonicMs(): number };
  readonly #unacked: UnackedAttempts;
  readonly #owners: ServerOwners;
  readonly #buckets = new Map<InstanceId, Bucket>();
  #serving: readonly Member[] = [];
  #servingMs = -Infinity;

  constructor({ serverLimits, unackedAttempts, memberTable, unitHash, clock }: {
    serverLimits: ServerLimits;
    unackedAttempts: UnackedAttempts;
    memberTable: LivingVms;
    unitHash: UnitHash;
    clock: { monotonicMs(): number };
  }) {
    this.#limits = serverLimits;
    this.#unacked = unackedAttempts;
    this.#vms = memberTable;
    this.#clock = clock;
    this.#owners = new ServerOwners({
      self: memberTable.self.id,
      vms: () => this.#servingVms(),
      unitHash,
      purpose: "limit",
      startedMs: clock.monotonicMs(),
    });
  }

  /** Whether a server takes a request of this VM now. */
  isOpen(server: ServerIncarnationKey): boolean {
    const part = this.#partOf(server);
    if (part === undefined) return true;
    const bucket = this.#bucket(server, part);
    return this.#free(bucket) - bucket.waiting >= 1;
  }

  /** Milliseconds until a server may take a request of this VM; 0 where it does. */
  opensInMs(server: ServerIncarnationKey): number {
    const part = this.#partOf(server);
    if (part === undefined || this.isOpen(server)) return 0;
    const bucket = this.#bucket(server, part);
    const nowMs = this.#clock.monotonicMs();
    const settlesInMs = this.#owners.settlesInMs(nowMs);
    if (settlesInMs > 0) return settlesInMs;
    if (bucket.isOwner) return this.#promise(bucket, part);
    const askAgainMs = [...bucket.askAgainMs.values()]
      .filter((atMs) => atMs > nowMs);
    return askAgainMs.length === 0
      ? intervalMs(part)
      : Math.min(...askAgainMs) - nowMs;
  }

  /** Gives a request a place that was chosen for a server. */
  reserve(server: ServerIncarnationKey): SendPlace {
    const part = this.#partOf(server);
    // A server may name a limit while the connection comes up.
    if (part === undefined) {
      return { ...FREE_PLACE, take: () => this.#takeUnreserved(server) };
    }
    const bucket = this.#bucket(server, part);
    bucket.waiting += 1;
    let isHeld = true;
    const release = () => {
      if (isHeld) bucket.waiting -= 1;
      isHeld = false;
    };
    const take = () => {
      release();
      return this.#takeUnreserved(server);
    };
    return { take, release };
  }

  /** Lends a place to another VM, out of what this one may send. */
  lend(server: ServerIncarnationKey): Lent {
    const part = this.#partOf(server);
    // What is not limited as known here is nothing to lend of: news of it is on its way.
    if (part === undefined) return { granted: false, opensInMs: LOAN_MS };
    const bucket = this.#bucket(server, part);
    if (bucket.isOwner && bucket.tokens - bucket.waiting >= 1) {
      bucket.tokens -= 1;
      return { granted: true, opensInMs: 0 };
    }
    if (!bucket.isOwner) return { granted: false, opensInMs: intervalMs(part) };
    const opensInMs = this.#promise(bucket, part);
    const nowMs = this.#clock.monotonicMs();
    bucket.promisedMs = nowMs + opensInMs + 1 / part.perMs;
    return { granted: false, opensInMs };
  }

  /** Other owners that may be asked for a place now. */
  lenders(server: ServerIncarnationKey): readonly EntryId[] {
    const part = this.#partOf(server);
    if (part === undefined) return [];
    const { askAgainMs } = this.#bucket(server, part);
    const nowMs = this.#clock.monotonicMs();
    const owners = this.#owners.owners(server.instance, {
      count: part.owners,
      nowMs,
    });
    return owners.filter((id) =>
      id !== this.#vms.self.id && (askAgainMs.get(id) ?? 0) <= nowMs
    );
  }

  /** Takes in the answer of an owner that was asked for a place. */
  borrowed(
    server: ServerIncarnationKey,
    { owner, granted, opensInMs }: Lent & { owner: EntryId },
  ): void {
    const part = this.#partOf(server);
    if (part === undefined) return;
    const bucket = this.#bucket(server, part);
    const nowMs = this.#clock.monotonicMs();
    if (granted) bucket.loansUntilMs.push(nowMs + LOAN_MS);
    else bucket.askAgainMs.set(owner, nowMs + opensInMs);
  }

  /** Forgets a server that is gone. */
  forget(instance: InstanceId): void {
    this.#buckets.delete(instance);
    this.#owners.forget(instance);
  }

  #takeUnreserved(server: ServerIncarnationKey): boolean {
    const part = this.#partOf(server);
    if (part === undefined) return true;
    const bucket = this.#bucket(server, part);
    if (bucket.loansUntilMs.shift() !== undefined) return true;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  #partOf(server: ServerIncarnationKey): LimitPart | undefined {
    const limitPerS = this.#limits.get(server);
    if (limitPerS === undefined) {
      // A limit that begins anew finds nothing saved.
      this.#buckets.delete(server.instance);
      return undefined;
    }
    return limitPart(limitPerS, this.#servingVms().length);
  }

  /** VMs that serve: one that leaves gets few requests, and one that is dead none. */
  #servingVms(): readonly Member[] {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#servingMs < KEEP_VMS_MS) return this.#serving;
    this.#servingMs = nowMs;
    this.#serving = [this.#vms.self, ...this.#vms.others()].filter((
      { state },
    ) => state === "alive" || state === "suspect");
    return this.#serving;
  }

  #free({ tokens, loansUntilMs }: Bucket): number {
    return Math.floor(tokens) + loansUntilMs.length;
  }

  #promise(bucket: Bucket, { perMs }: LimitPart): number {
    const nowMs = this.#clock.monotonicMs();
    const missing = Math.max(0, 1 + bucket.waiting - bucket.tokens);
    const queueMs = Math.min(LONGEST_QUEUE_MS, bucket.promisedMs - nowMs);
    return Math.min(LONGEST_WAIT_MS, Math.max(missing / perMs, queueMs));
  }

  /** What is kept of a server, brought up to date. */
  #bucket(life: ServerIncarnationKey, part: LimitPart): Bucket {
    const nowMs = this.#clock.monotonicMs();
    const { instance } = life;
    const isOwner = this.#owners.isOwner(instance, {
      count: part.owners,
      nowMs,
    });
    const known = this.#buckets.get(instance);
    if (known === undefined || isLaterIncarnation(life, known.life)) {
      const bucket = newBucket(life, { isOwner, nowMs });
      this.#buckets.set(instance, bucket);
      return bucket;
    }
    // Who takes a part over begins with nothing saved: its last owner may just have used it.
    const wasOwner = known.isOwner && isOwner;
    const grown = known.tokens + part.perMs * (nowMs - known.refilledMs);
    known.tokens = wasOwner ? Math.min(part.burst, grown) : 0;
    known.isOwner = isOwner;
    known.refilledMs = nowMs;
    for (const [id, atMs] of known.askAgainMs) {
      if (atMs <= nowMs) known.askAgainMs.delete(id);
    }
    known.loansUntilMs = known.loansUntilMs.filter((atMs) => atMs > nowMs);
    if (this.#mayHaveStopped(life)) {
      known.tokens = 0;
      known.loansUntilMs = [];
    }
    return known;
  }

  /** What a stopped server has not read arrives as it goes on, beside what it is sent then. */
  #mayHaveStopped(life: ServerIncarnationKey): boolean {
    const nowMs = this.#clock.monotonicMs();
    const { oldestMs, newestMs } = this.#unacked.state(life, nowMs);
    return oldestMs >= UNRESPONSIVE_MS && newestMs < PROBE_MS;
  }
}

/** Time between two requests of one owner, as far as others are told of it. */
function intervalMs({ perMs }: LimitPart): number {
  return Math.min(LONGEST_WAIT_MS, 1 / perMs);
}

function newBucket(
  life: ServerIncarnationKey,
  { isOwner, nowMs }: { isOwner: boolean; nowMs: number },
): Bucket {
  return {
    life,
    isOwner,
    tokens: 0,
    refilledMs: nowMs,
    loansUntilMs: [],
    waiting: 0,
    promisedMs: 0,
    askAgainMs: new Map(),
  };
}
