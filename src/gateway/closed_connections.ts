/** Counts and logs the connections that a gateway closes as their clients keep no limits. */

import type { CloseReason } from "../runtime/connection_guard.ts";
import type { Logger } from "../runtime/logger.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** A crowd is logged in one line for this long. */
const LOG_INTERVAL_MS = 1_000;

/** Listeners of a gateway. */
export type ListenerName =
  | "callers"
  | "readiness"
  | "addresses"
  | "metrics"
  | "peers";

/** Counts by listener and reason. */
export class ClosedConnections {
  readonly #logger: Logger;
  readonly #metrics: GatewayMetrics;
  #counts = new Map<string, number>();

  constructor(
    { logger, gatewayMetrics }: {
      logger: Logger;
      gatewayMetrics: GatewayMetrics;
    },
  ) {
    this.#logger = logger;
    this.#metrics = gatewayMetrics;
  }

  /** Returns what counts the closed connections of one listener. */
  listener(
    name: ListenerName,
  ): (reason: CloseReason | "unread_responses") => void {
    return (reason) => {
      this.#metrics.closedConnections.inc({ listener: name, reason });
      const key = `${name} ${reason}`;
      if (this.#counts.size === 0) {
        setTimeout(() => this.#log(), LOG_INTERVAL_MS).unref();
      }
      this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    };
  }

  #log(): void {
    const counts = this.#counts;
    this.#counts = new Map();
    this.#logger.warn("Connections closed beyond the limits for clients", {
      closed: [...counts].map(([key, count]) => `${key}: ${count}`).join(", "),
      interval_ms: LOG_INTERVAL_MS,
    });
  }
}
