/** What servers answer, so that a caller can tell its own whole answer from all others. */

/** Events of a stream. */
export const EVENTS = 6;
/** Enough to need several packets, so that an answer can be cut in the middle. */
const FILLER = "x".repeat(3_000);

/** Body of an answer that is no stream. */
export function wholeBody(attempt: string): string {
  return `${attempt}:${FILLER}:${attempt}`;
}

/** One event of a stream. */
export function eventOf(attempt: string, event: number): string {
  return `id: ${event}\ndata: ${attempt}/${event}\n\n`;
}

/** A stream from after an event to its end. */
export function streamBody(attempt: string, after: number): string {
  let body = "";
  for (let event = after + 1; event <= EVENTS; event++) {
    body += eventOf(attempt, event);
  }
  return body;
}
