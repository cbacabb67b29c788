/** Continuous batching of the model server stand-in: slots, priority queue and prefix cache. */

import { unitHash } from "../runtime/hashing.ts";
import { Generation, type GenerationInput } from "./generation.ts";

const PRIORITY_ORDER = ["interactive", "standard", "batch"];
const MAX_CACHED_PREFIXES = 1_024;
/** Generations that are retained for resumption; the oldest are evicted first. */
const MAX_RETAINED_GENERATIONS = 4_096;

/** Capacity and speed of the engine. */
export interface EngineSpeed {
  /** Generations that run concurrently. */
  readonly slots: number;
  /** Time between tokens, in milliseconds; 0 generates whole answers in one step. */
  readonly tokenMs: number;
  /** Time to process one prompt token, in milliseconds, for a prompt not in the prefix cache. */
  readonly prefillMsPerToken: number;
}

interface QueuedGeneration {
  readonly generation: Generation;
  /** Position of the priority in `PRIORITY_ORDER`. */
  readonly order: number;
}

/** Counters of an engine. */
export interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
}

/** Runs generations in a limited number of slots and queues the others by priority. */
export class BatchEngine {
  readonly counts: EngineCounts = { started: 0, finished: 0, cancelled: 0 };
  readonly #speed: EngineSpeed;
  readonly #queue: QueuedGeneration[] = [];
  readonly #running = new Set<Generation>();
  readonly #retained = new Map<string, Generation>();
  readonly #cachedPrefixes = new Map<number, true>();

  constructor(speed: EngineSpeed) {
    this.#speed = speed;
  }

  /** Number of generations that occupy a slot. */
  get running(): number {
    return this.#running.size;
  }

  /** Number of generations that wait for a slot. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Queues a generation behind those of the same or a higher priority. */
  submit(input: GenerationInput, priority: string): Generation {
    const generation = new Generation(input);
    this.#retain(generation);
    const order = Math.max(0, PRIORITY_ORDER.indexOf(priority));
    const index = this.#queue.findIndex((queued) => queued.order > order);
    this.#queue.splice(index < 0 ? this.#queue.length : index, 0, {
      generation,
      order,
    });
    this.#fillSlots();
    return generation;
  }

  /** Returns the retained generation of an earlier request. */
  find(requestId: string): Generation | undefined {
    return this.#retained.get(requestId);
  }

  /** Cancels a generation; returns false if it is unknown, finished or cancelled already. */
  cancel(requestId: string): boolean {
    const generation = this.#retained.get(requestId);
    if (
      generation === undefined || generation.finished || generation.cancelled
    ) {
      return false;
    }
    this.counts.cancelled += 1;
    generation.cancel();
    const index = this.#queue.findIndex((queued) =>
      queued.generation === generation
    );
    if (index >= 0) this.#queue.splice(index, 1);
    this.#running.delete(generation);
    this.#fillSlots();
    return true;
  }

  #fillSlots(): void {
    while (this.#running.size < this.#speed.slots) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#start(next.generation);
    }
  }

  #start(generation: Generation): void {
    this.counts.started += 1;
    this.#running.add(generation);
    const prefillMs = this.#prefillMs(generation.input);
    if (this.#speed.tokenMs === 0 && prefillMs < 1) {
      generation.advance(generation.input.maxTokens);
      this.#finish(generation);
    } else {
      setTimeout(() => this.#step(generation), prefillMs + this.#speed.tokenMs);
    }
  }

  #step(generation: Generation): void {
    if (generation.cancelled) return;
    generation.advance(
      this.#speed.tokenMs === 0 ? generation.input.maxTokens : 1,
    );
    if (generation.finished) this.#finish(generation);
    else setTimeout(() => this.#step(generation), this.#speed.tokenMs);
  }

  #finish(generation: Generation): void {
    this.counts.finished += 1;
    this.#running.delete(generation);
    this.#fillSlots();
  }

  /**
   * A prompt whose first 256 characters are in the prefix cache is processed four times as
   * fast.
   */
  #prefillMs({ prompt, promptTokens }: GenerationInput): number {
    const PREFIX_CHARACTERS = 256;
    const CACHE_SPEED_UP = 4;
    const uncachedMs = promptTokens * this.#speed.prefillMsPerToken;
    const prefix = unitHash(prompt.slice(0, PREFIX_CHARACTERS));
    const cached = this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.set(prefix, true);
    evictOldest(this.#cachedPrefixes, MAX_CACHED_PREFIXES);
    return cached ? uncachedMs / CACHE_SPEED_UP : uncachedMs;
  }

  #retain(generation: Generation): void {
    this.#retained.set(generation.input.requestId, generation);
    evictOldest(this.#retained, MAX_RETAINED_GENERATIONS);
  }
}

function evictOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  if (map.size <= maxSize) return;
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
