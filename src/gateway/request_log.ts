/** Log lines about requests: all that failed or were slow, and a sample of the others. */

import type { Refusal } from "../core/refusal.ts";
import type { Logger } from "../runtime/logger.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RequestRun } from "./request_run.ts";

/** One in so many requests that went well is logged. */
const SAMPLE = 50;

/** Writes one line for each request that an engineer may be asked about. */
export class RequestLog {
  readonly #logger: Logger;
  #good = 0;

  constructor({ logger }: { logger: Logger }) {
    this.#logger = logger;
  }

  /** Notes a request that got no server's answer. */
  refused(exchange: CallerExchange, refusal: Refusal): void {
    this.#logger.info("Request refused", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      refusal: refusal.tag,
      detail: detailOf(refusal),
      age_ms: Math.round(exchange.ageMs()),
    });
  }

  /** Notes the end of a request. */
  ended(exchange: CallerExchange, run: RequestRun): void {
    const status = exchange.status ?? 0;
    const plain = status >= 200 && status < 300 && run.tries.length === 1 &&
      exchange.state === "ended";
    if (plain && this.#good++ % SAMPLE !== 0) return;
    this.#logger.info("Request ended", {
      attempt: exchange.head.attempt,
      path: exchange.path,
      service: run.service,
      parts: exchange.head.promptParts.map(({ id }) => id).join(","),
      status,
      state: exchange.state,
      age_ms: Math.round(exchange.ageMs()),
      tries: run.tries.map((one) =>
        `${one.server}@${one.release}/${one.model ?? ""}:${one.outcome}:${
          one.confidence ?? ""
        }+${Math.round(one.startedMs - exchange.arrivedMs)}`
      ).join(" "),
    });
  }
}

function detailOf(refusal: Refusal): string | undefined {
  switch (refusal.tag) {
    case "answer_lost":
    case "malformed":
      return refusal.reason;
    case "unconfirmed_keys":
      return `confirmed ${Math.round(refusal.ageMs)} ms ago`;
    case "servers_full":
      return `${refusal.asked} servers asked`;
    default:
      return undefined;
  }
}
