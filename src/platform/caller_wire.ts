/** Paths and messages by which callers and the platform ask an entry VM. */

/** Path of the platform's readiness check. */
export const READINESS_PATH = "/-/readyz";
/** Path by which callers ask which addresses to use. */
export const ADDRESSES_PATH = "/-/resolve";

const MS_PER_SECOND = 1_000;

/** Encodes the addresses that a caller may use, and for how long. */
export function encodeAddresses(
  { addresses, ttlMs }: { addresses: readonly string[]; ttlMs: number },
): string {
  return JSON.stringify({
    Addresses: addresses,
    TtlS: ttlMs / MS_PER_SECOND,
  });
}

/** Data centre that a caller says it is in; undefined if it does not say. */
export function decodeCallerDataCentre(query: string): string | undefined {
  return new URLSearchParams(query).get("Zone") ?? undefined;
}
