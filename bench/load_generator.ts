/** Sends chat requests to one address, in a closed or an open loop. */

import { performance } from "node:perf_hooks";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

const US_PER_MS = 1_000;
const TICK_MS = 1;

/** What is sent, and where. */
export interface LoadTarget {
  readonly url: string;
  readonly key: string;
  readonly body: string;
  /** Whether the time to the first event counts, not that to the whole answer. */
  readonly toFirstEvent: boolean;
}

/** Outcome of a run; latencies are in microseconds. */
export interface LoadResult {
  readonly perSecond: number;
  readonly failed: number;
  readonly latencies: Histogram;
}

/** A source of load with connections of its own. */
export class LoadGenerator {
  readonly #target: LoadTarget;
  readonly #agent: Agent;
  #failed = 0;

  constructor(target: LoadTarget, connections: number) {
    this.#target = target;
    this.#agent = new Agent({ connections, pipelining: 1 });
  }

  /** So many callers, each sending its next request when it has its answer. */
  async closedLoop(
    { callers, forMs }: { callers: number; forMs: number },
  ): Promise<LoadResult> {
    const latencies = newHistogram();
    const startedMs = performance.now();
    const endMs = startedMs + forMs;
    const run = async () => {
      while (performance.now() < endMs) {
        await this.#once(performance.now(), latencies);
      }
    };
    await Promise.all(Array.from({ length: callers }, run));
    return this.#result(latencies, startedMs);
  }

  /** So many requests a second; a late start counts as latency. */
  async openLoop(
    { perSecond, forMs }: { perSecond: number; forMs: number },
  ): Promise<LoadResult> {
    const latencies = newHistogram();
    const startedMs = performance.now();
    const count = Math.floor(perSecond * forMs / 1_000);
    const pending: Promise<void>[] = [];
    while (pending.length < count) {
      const due = Math.floor(
        (performance.now() - startedMs) * perSecond / 1_000,
      );
      while (pending.length < Math.min(due, count)) {
        const dueMs = startedMs + pending.length * 1_000 / perSecond;
        pending.push(this.#once(dueMs, latencies));
      }
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
    await Promise.all(pending);
    return this.#result(latencies, startedMs);
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #once(fromMs: number, latencies: Histogram): Promise<void> {
    try {
      const res = await request(this.#target.url, {
        method: "POST",
        dispatcher: this.#agent,
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${this.#target.key}`,
        },
        body: this.#target.body,
      });
      if (this.#target.toFirstEvent) {
        let first = true;
        for await (const _ of res.body) {
          if (first) record(latencies, fromMs);
          first = false;
        }
      } else {
        await res.body.text();
        record(latencies, fromMs);
      }
      if (res.statusCode !== 200) this.#failed += 1;
    } catch {
      this.#failed += 1;
    }
  }

  #result(latencies: Histogram, startedMs: number): LoadResult {
    const seconds = (performance.now() - startedMs) / 1_000;
    const failed = this.#failed;
    this.#failed = 0;
    return { perSecond: latencies.totalCount / seconds, failed, latencies };
  }
}

/** Returns a percentile in milliseconds. */
export function percentileMs(latencies: Histogram, percentile: number): number {
  return latencies.getValueAtPercentile(percentile) / US_PER_MS;
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
  });
}

function record(latencies: Histogram, fromMs: number): void {
  latencies.recordValue(Math.round((performance.now() - fromMs) * US_PER_MS));
}
