/**
 * How a limit that a server names for all VMs together is split among the VMs that own it.
 *
 * A server may get 1.5 times what it names and five requests more in any four seconds. Owners that
 * each save up `burst` requests send it `owners * (span * rate + burst)` in a span; what is left
 * below the bound is for VMs that take themselves for owners while others do not agree.
 */

/** Time in which the users count what a server gets, in seconds. */
const COUNTED_S = 4;
/** What requests of one VM differ by on their way, in seconds. */
const ON_ITS_WAY_S = 0.25;
const SPAN_S = COUNTED_S + ON_ITS_WAY_S;
/** Times what it names that a server may get, and requests besides. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_BESIDES = 5;
/** VMs beyond the owners that may take themselves for such meanwhile, without harm. */
const SURPLUS_OWNERS = 1;
/**
 * Requests a second that a server gets at least, whatever it names, so that the end of its limit
 * is heard.
 */
const LEAST_PER_S = 0.1;
/** Owners beyond one for each request a second: the loss of one leaves the others. */
const SPARE_OWNERS = 1;
const MS_PER_S = 1_000;

/** What each owner of a server may send it. */
export interface LimitPart {
  readonly owners: number;
  readonly perMs: number;
  /** Requests that an owner may save up. */
  readonly burst: number;
}

/** Splits a limit, in requests a second, among the owners of a fleet of so many VMs. */
export function limitPart(limitPerS: number, vms: number): LimitPart {
  const perS = Math.max(LEAST_PER_S, limitPerS);
  const owners = Math.max(1, Math.min(vms, SPARE_OWNERS + Math.ceil(perS)));
  const ownPerS = perS / owners;
  const allowed = ALLOWED_FACTOR * perS * COUNTED_S + ALLOWED_BESIDES;
  const burst = allowed / (owners + SURPLUS_OWNERS) - SPAN_S * ownPerS;
  return {
    owners,
    perMs: ownPerS / MS_PER_S,
    burst: Math.max(1, Math.floor(burst)),
  };
}
