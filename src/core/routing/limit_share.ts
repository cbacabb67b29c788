/**
 * Splits the rate limit that a server advertises for all VMs together among the VMs that own it.
 *
 * In any four seconds a server may get 1.5 times its limit and five requests more. Owners that each
 * accumulate up to `burst` requests send at most `owners * (span * rate + burst)` in a span. The
 * margin below the bound covers VMs that regard themselves as owners while others disagree.
 */

/** Window over which the requests to a server are counted against its limit, in seconds. */
const WINDOW_S = 4;
/** Variation in the transit time of requests from one VM, in seconds. */
const TRANSIT_JITTER_S = 0.25;
const SPAN_S = WINDOW_S + TRANSIT_JITTER_S;
/** A server may get its limit times this factor, plus `ALLOWED_EXTRA_REQUESTS`. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA_REQUESTS = 5;
/** VMs beyond the owners that may temporarily regard themselves as owners within the bound. */
const SURPLUS_OWNERS = 1;
/**
 * Minimum request rate per second for any limited server, so that a response can show that the
 * limit has ended.
 */
const MIN_PER_S = 0.1;
/** Owners beyond one per request a second, so that the loss of one leaves others. */
const SPARE_OWNERS = 1;
const MS_PER_S = 1_000;

/** Share of a server's rate limit that each owner may use. */
export interface LimitShare {
  /** Number of VMs that own the server. */
  readonly owners: number;
  /** Requests per millisecond of one owner. */
  readonly perMs: number;
  /** Requests that an owner may accumulate. */
  readonly burst: number;
}

/** Splits a limit, in requests per second, among the owners in a fleet of `vms` VMs. */
export function limitShare(limitPerS: number, vms: number): LimitShare {
  const perS = Math.max(MIN_PER_S, limitPerS);
  const owners = Math.max(1, Math.min(vms, SPARE_OWNERS + Math.ceil(perS)));
  const ownPerS = perS / owners;
  const allowed = ALLOWED_FACTOR * perS * WINDOW_S + ALLOWED_EXTRA_REQUESTS;
  const burst = allowed / (owners + SURPLUS_OWNERS) - SPAN_S * ownPerS;
  return {
    owners,
    perMs: ownPerS / MS_PER_S,
    burst: Math.max(1, Math.floor(burst)),
  };
}
