/** Decodes the status that a backend server sends along with its responses. */

import type { ServerNotice } from "../core/servers/server_notice.ts";

const RETRY_AFTER = "retry-after";
const DATE = "date";
const SERVER_LEAVING = "server-leaving";
const IS_LEAVING = "1";
const SERVER_LIMIT = "server-limit";
const SERVER_BRITTLE = "server-brittle";
/** Only responses with this status may request a backoff. */
const SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;
/** Accepts fractions, but not the other forms that `Number` accepts, such as "0x3" or "3e1". */
const DECIMAL = /^\d*\.?\d+$|^\d+\.$/;

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Decodes the notice from the status and headers of a response. */
export function decodeServerNotice(
  status: number,
  headers: Headers,
): ServerNotice {
  return {
    restMs: status === SERVICE_UNAVAILABLE ? backoffMs(headers) : 0,
    leaves: valuesOf(headers[SERVER_LEAVING]).includes(IS_LEAVING),
    limitPerS: lowestNumber(headers[SERVER_LIMIT]),
    bearsPerS: lowestNumber(headers[SERVER_BRITTLE]),
  };
}

/** Returns the longest backoff among the header's values; 0 if none is valid. */
function backoffMs(headers: Headers): number {
  const [serverDate] = [headers[DATE]].flat();
  const dateBackoffs = [headers[RETRY_AFTER]].flat().flatMap((value) =>
    value === undefined ? [] : [backoffUntilMs(value, serverDate)]
  );
  const delays = valuesOf(headers[RETRY_AFTER])
    .filter((value) => DECIMAL.test(value))
    .map((value) => Number(value) * MS_PER_SECOND);
  return Math.max(0, ...dateBackoffs, ...delays);
}

/** Returns the lowest number among a header's values; undefined if none is valid. */
function lowestNumber(
  header: string | string[] | undefined,
): number | undefined {
  const limits = valuesOf(header)
    .filter((value) => DECIMAL.test(value))
    .map(Number)
    .filter(Number.isFinite);
  return limits.length === 0 ? undefined : Math.min(...limits);
}

/** Converts a `retry-after` date to a backoff, relative to the `date` header of the same server. */
function backoffUntilMs(value: string, serverDate: string | undefined): number {
  if (!/[a-z]/i.test(value) || serverDate === undefined) return 0;
  const delayMs = Date.parse(value) - Date.parse(serverDate);
  return Number.isFinite(delayMs) ? delayMs : 0;
}

/** Returns the values of a header that may be repeated or contain a comma-separated list. */
function valuesOf(value: string | string[] | undefined): string[] {
  return [value ?? []].flat().flatMap((text) => text.split(","))
    .map((text) => text.trim());
}
