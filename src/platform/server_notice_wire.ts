/** Decodes what a backend server says of itself beside its answers. */

import type { ServerNotice } from "../core/servers/server_notice.ts";

const RETRY_AFTER = "retry-after";
const DATE = "date";
const LEAVING = "server-leaving";
const LEAVES = "1";
const LIMIT = "server-limit";
/** Status by which a server turns requests away; only there it may ask for rest. */
const TURNED_AWAY = 503;
const MS_PER_SECOND = 1_000;
/** Fractions too; anything else that `Number` reads, as "0x3" or "3e1", is none. */
const DECIMAL = /^\d*\.?\d+$|^\d+\.$/;

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Decodes status and headers of an answer. */
export function decodeServerNotice(
  status: number,
  headers: Headers,
): ServerNotice {
  return {
    restMs: status === TURNED_AWAY ? restMs(headers) : 0,
    leaves: valuesOf(headers[LEAVING]).includes(LEAVES),
    limitPerS: limitPerS(headers),
  };
}

/** The longest wait that is told; 0 where none is told that can be read. */
function restMs(headers: Headers): number {
  const [serverDate] = [headers[DATE]].flat();
  const waits = [headers[RETRY_AFTER]].flat().flatMap((value) =>
    value === undefined ? [] : [dateWaitMs(value, serverDate)]
  );
  const seconds = valuesOf(headers[RETRY_AFTER])
    .filter((value) => DECIMAL.test(value))
    .map((value) => Number(value) * MS_PER_SECOND);
  return Math.max(0, ...waits, ...seconds);
}

/** The strictest limit that is named; undefined where none is that can be read. */
function limitPerS(headers: Headers): number | undefined {
  const limits = valuesOf(headers[LIMIT])
    .filter((value) => DECIMAL.test(value))
    .map(Number)
    .filter(Number.isFinite);
  return limits.length === 0 ? undefined : Math.min(...limits);
}

/** A wait that is told as a moment, by the time of day that the same server tells. */
function dateWaitMs(value: string, serverDate: string | undefined): number {
  if (!/[a-z]/i.test(value) || serverDate === undefined) return 0;
  const waitMs = Date.parse(value) - Date.parse(serverDate);
  return Number.isFinite(waitMs) ? waitMs : 0;
}

/** Values of a header that may come several times, or hold several by commas. */
function valuesOf(value: string | string[] | undefined): string[] {
  return [value ?? []].flat().flatMap((text) => text.split(","))
    .map((text) => text.trim());
}
