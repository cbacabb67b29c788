/** Load generator for chat requests to one URL, closed loop or open loop. */

import { performance } from "node:perf_hooks";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

const US_PER_MS = 1_000;
const TICK_MS = 1;

/** Request to send, and its URL. */
export interface LoadTarget {
  readonly url: string;
  readonly key: string;
  readonly body: string;
  /** Whether latency is the time to the first event instead of the time to the complete response. */
  readonly toFirstEvent: boolean;
}

/** Result of a run; latencies are in microseconds. */
export interface LoadResult {
  readonly perSecond: number;
  readonly failed: number;
  readonly latencies: Histogram;
}

/** Sends the same request repeatedly over its own connection pool. */
export class LoadGenerator {
  readonly #target: LoadTarget;
  readonly #agent: Agent;
  #failed = 0;

  constructor(target: LoadTarget, connections: number) {
    this.#target = target;
    this.#agent = new Agent({ connections, pipelining: 1 });
  }

  /** Runs a fixed number of callers, each of which sends its next request after the previous response. */
  async closedLoop(
    { callers, durationMs }: { callers: number; durationMs: number },
  ): Promise<LoadResult> {
    const latencies = newHistogram();
    const startedMs = performance.now();
    const endMs = startedMs + durationMs;
    const runCaller = async () => {
      while (performance.now() < endMs) {
        await this.#send(performance.now(), latencies);
      }
    };
    await Promise.all(Array.from({ length: callers }, runCaller));
    return this.#result(latencies, startedMs);
  }

  /** Sends requests at a fixed rate; latency is measured from the due time, so it includes late starts. */
  async openLoop(
    { perSecond, durationMs }: { perSecond: number; durationMs: number },
  ): Promise<LoadResult> {
    const latencies = newHistogram();
    const startedMs = performance.now();
    const count = Math.floor(perSecond * durationMs / 1_000);
    const pending: Promise<void>[] = [];
    while (pending.length < count) {
      const dueCount = Math.floor(
        (performance.now() - startedMs) * perSecond / 1_000,
      );
      while (pending.length < Math.min(dueCount, count)) {
        const dueMs = startedMs + pending.length * 1_000 / perSecond;
        pending.push(this.#send(dueMs, latencies));
      }
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
    await Promise.all(pending);
    return this.#result(latencies, startedMs);
  }

  /** Destroys all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(startMs: number, latencies: Histogram): Promise<void> {
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
        let isFirst = true;
        for await (const _ of res.body) {
          if (isFirst) recordLatency(latencies, startMs);
          isFirst = false;
        }
      } else {
        await res.body.text();
        recordLatency(latencies, startMs);
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

/** Returns a latency percentile in milliseconds. */
export function percentileMs(latencies: Histogram, percentile: number): number {
  return latencies.getValueAtPercentile(percentile) / US_PER_MS;
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
  });
}

function recordLatency(latencies: Histogram, startMs: number): void {
  latencies.recordValue(Math.round((performance.now() - startMs) * US_PER_MS));
}
