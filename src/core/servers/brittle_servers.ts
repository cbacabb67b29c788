/**
 * Keeps servers from falling over that bear only few rejections in a second. The slots of a brittle
 * server are split among all VMs, as it has room for so many requests whatever its queue holds. Beyond
 * its slots a VM sends no more than there was room for at the last rejection, and nothing while the
 * rejections of all VMs in the last second come near what the server bears.
 */

import type { InstanceId } from "../ids.ts";
import {
  isLaterIncarnation,
  type ServerIncarnationKey,
} from "./server_record.ts";

/** Time span in which servers count rejections. */
const WINDOW_MS = 1_000;
/**
 * Fraction of the rejections that a server bears at which nothing more is sent. The rest is for
 * requests on their way, and for rejections of which this VM has not heard yet.
 */
const SEND_BELOW_SHARE = 0.3;
/** Fraction of the requests in flight that a server gets after it has rejected one. */
const CAP_SHARE = 0.6;
/** Fraction of the rejections that a server bears which all VMs may risk by raising their caps. */
const RAISE_SHARE = 0.3;
/** Requests of this VM that may wait at a server before it has rejected any. */
const INITIAL_QUEUED = 1;
/** Random part of the wait after rejections, so that VMs do not return at the same moment. */
const HOLD_JITTER_MS = 500;
const MS_PER_SECOND = 1_000;

interface BrittleServer {
  readonly key: ServerIncarnationKey;
  /** Rejections in a second that the server bears from all VMs together. */
  bears: number;
  /** When requests were rejected, at any VM. */
  rejectionsMs: number[];
  /** Requests of this VM that may be in flight; undefined before the first rejection. */
  cap: number | undefined;
  capChangedMs: number;
  holdUntilMs: number;
}

/** A rejection for want of room that this VM has received. */
export interface BrittleRejection {
  readonly instance: InstanceId;
  readonly bornMs: number | undefined;
  readonly bears: number;
  readonly atMs: number;
}

/** State that a decision depends on. */
export interface BrittleContext {
  /** Requests of this VM in flight at the server. */
  readonly inFlight: number;
  /** VMs that may send to the server. */
  readonly vms: number;
  /** Requests for which the server has slots that no other VM uses. */
  readonly ownSlots: number;
  readonly nowMs: number;
}

/** All brittle servers that this VM knows. */
export class BrittleServers {
  readonly #servers = new Map<InstanceId, BrittleServer>();
  readonly #chance: () => number;
  #own: BrittleRejection[] = [];

  constructor({ chance }: { chance: () => number }) {
    this.#chance = chance;
  }

  get isEmpty(): boolean {
    return this.#servers.size === 0;
  }

  /** Instances of the brittle servers. */
  get instances(): readonly InstanceId[] {
    return [...this.#servers.keys()];
  }

  /** Records that a server says that it is brittle; returns whether this is new. */
  receive(key: ServerIncarnationKey, bears: number): boolean {
    const known = this.#servers.get(key.instance);
    if (known !== undefined && !isLaterIncarnation(key, known.key)) {
      known.bears = bears;
      return false;
    }
    this.#servers.set(key.instance, {
      key,
      bears,
      rejectionsMs: [],
      cap: undefined,
      capChangedMs: 0,
      holdUntilMs: 0,
    });
    return true;
  }

  /** Records an answer without the notice; returns whether the server was brittle before. */
  receiveSound({ instance }: ServerIncarnationKey): boolean {
    return this.#servers.delete(instance);
  }

  /** Removes a server that is no longer listed. */
  remove(instance: InstanceId): void {
    this.#servers.delete(instance);
  }

  /** Records a rejection for want of room at this VM; returns whether the server is brittle. */
  recordRejection(
    instance: InstanceId,
    { inFlight, nowMs }: Pick<BrittleContext, "inFlight" | "nowMs">,
  ): boolean {
    const server = this.#servers.get(instance);
    if (server === undefined) return false;
    const { key: { bornMs }, bears } = server;
    this.#own = this.#own.filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
    this.#own.push({ instance, bornMs, bears, atMs: nowMs });
    this.#reject(server, { inFlight, atMs: nowMs });
    return true;
  }

  /** Rejections of the last second that this VM has received itself. */
  ownRejections(nowMs: number): readonly BrittleRejection[] {
    return this.#own.filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
  }

  /** Merges a rejection at another VM, unless it is known. */
  receiveRejection(
    { instance, bornMs, bears, atMs }: BrittleRejection,
    { inFlight, isKnown }: { inFlight: number; isKnown: boolean },
  ): void {
    this.receive({ instance, bornMs }, bears);
    const server = this.#servers.get(instance);
    if (server !== undefined && !isKnown) {
      this.#reject(server, { inFlight, atMs });
    }
  }

  /** Whether one more request may be sent to a server. */
  canSend(instance: InstanceId, context: BrittleContext): boolean {
    return this.opensInMs(instance, context) === 0;
  }

  /** Milliseconds until one more request may be sent; 0 if it may be now. */
  opensInMs(
    instance: InstanceId,
    { inFlight, vms, ownSlots, nowMs }: BrittleContext,
  ): number {
    const server = this.#servers.get(instance);
    if (server === undefined || inFlight < ownSlots) return 0;
    const holdMs = Math.max(0, server.holdUntilMs - nowMs);
    if (holdMs > 0) return holdMs;
    if (inFlight < (server.cap ?? ownSlots + INITIAL_QUEUED)) return 0;
    // All VMs together raise their caps by a few requests a second, each of which may be rejected.
    const raiseMs = MS_PER_SECOND * vms / (RAISE_SHARE * server.bears);
    const waitMs = server.capChangedMs + raiseMs - nowMs;
    if (waitMs > 0) return waitMs;
    server.cap = inFlight + 1;
    server.capChangedMs = nowMs;
    return 0;
  }

  #reject(
    server: BrittleServer,
    { inFlight, atMs }: { inFlight: number; atMs: number },
  ): void {
    server.rejectionsMs = server.rejectionsMs
      .filter((otherMs) => atMs - otherMs < WINDOW_MS);
    server.rejectionsMs.push(atMs);
    server.cap = Math.min(
      server.cap ?? Infinity,
      Math.max(1, Math.floor(CAP_SHARE * inFlight)),
    );
    server.capChangedMs = atMs;
    const most = Math.max(1, Math.floor(SEND_BELOW_SHARE * server.bears));
    if (server.rejectionsMs.length < most) return;
    // One more may be sent once the rejections of the last second are fewer again.
    const oldestMs = server.rejectionsMs.at(-most) ?? atMs;
    const jitterMs = HOLD_JITTER_MS * this.#chance();
    server.holdUntilMs = Math.max(
      server.holdUntilMs,
      oldestMs + WINDOW_MS + jitterMs,
    );
  }
}
