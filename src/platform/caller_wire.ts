/** Paths and messages of the endpoints that an entry VM offers to callers and the platform. */

/** Path of the platform's readiness check. */
export const READINESS_PATH = "/-/readyz";
/** Path on which callers request the list of entry addresses. */
export const ADDRESSES_PATH = "/-/resolve";

const MS_PER_SECOND = 1_000;

/** Encodes the addresses that a caller may use and how long it may cache them. */
export function encodeAddresses(
  { addresses, ttlMs }: { addresses: readonly string[]; ttlMs: number },
): string {
  return JSON.stringify({
    Addresses: addresses,
    TtlS: ttlMs / MS_PER_SECOND,
  });
}

/** Returns the caller's data centre; undefined if the query does not specify it. */
export function decodeCallerDataCentre(query: string): string | undefined {
  return new URLSearchParams(query).get("Zone") ?? undefined;
}
