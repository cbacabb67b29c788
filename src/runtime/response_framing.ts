/** How the end of an HTTP response is marked. */

/** Headers of a response, by lower-case name. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;
const CHUNKED = "chunked";

/**
 * Whether the body is encoded in a way that the HTTP client does not decode. It ignores all transfer
 * codings but a last `chunked`, and would pass on encoded bytes as the body.
 */
export function hasUnknownCoding(headers: ResponseHeaders): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && !isChunked(coding);
}

/** Whether a length or chunks mark the end of the body. */
export function isFramed(headers: ResponseHeaders): boolean {
  return headers["content-length"] !== undefined ||
    isChunked(headers["transfer-encoding"]);
}

/** Whether only the end of the connection marks the end of the response. */
export function endsWithConnection(
  { method, status, headers }: {
    method: string;
    status: number;
    headers: ResponseHeaders;
  },
): boolean {
  if (status < FIRST_FINAL_STATUS || BODILESS_STATUSES.has(status)) {
    return false;
  }
  return method !== "HEAD" && !isFramed(headers);
}

/** Takes several values for none that is known, as chunks within chunks are not decoded. */
function isChunked(coding: string | string[] | undefined): boolean {
  return typeof coding === "string" && coding.trim().toLowerCase() === CHUNKED;
}
