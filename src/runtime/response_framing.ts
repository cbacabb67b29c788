/** How the end of an HTTP response is marked. */

/** Headers of a response, by lower-case name. */
type Headers = Readonly<Record<string, string | string[] | undefined>>;

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;

/** Whether a length or chunks mark the end of the body. */
export function isFramed(headers: Headers): boolean {
  const coding = headers["transfer-encoding"];
  const last = Array.isArray(coding) ? coding.at(-1) : coding;
  const isChunked = /\bchunked\b/i.test(last ?? "");
  return isChunked || headers["content-length"] !== undefined;
}

/** Whether only the end of the connection marks the end of the response. */
export function endsWithConnection(
  { method, status, headers }: {
    method: string;
    status: number;
    headers: Headers;
  },
): boolean {
  if (status < FIRST_FINAL_STATUS || BODILESS_STATUSES.has(status)) {
    return false;
  }
  return method !== "HEAD" && !isFramed(headers);
}
