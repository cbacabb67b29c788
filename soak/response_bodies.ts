/** Response bodies by which a caller recognises the complete response to its own request. */

export const EVENTS_PER_STREAM = 6;
/** Long enough for several packets, so that a response can be cut in the middle. */
const FILLER = "x".repeat(3_000);

/** Body of a response that is not a stream. */
export function responseBody(attempt: string): string {
  return `${attempt}:${FILLER}:${attempt}`;
}

export function streamEvent(attempt: string, event: number): string {
  return `id: ${event}\ndata: ${attempt}/${event}\n\n`;
}

/** Returns the part of a stream that follows event number `after`. */
export function streamBody(attempt: string, after: number): string {
  let body = "";
  for (let event = after + 1; event <= EVENTS_PER_STREAM; event++) {
    body += streamEvent(attempt, event);
  }
  return body;
}
