/** Continuous batching of the model server stand-in: slots, queue and prefix cache. */

import { unitHash } from "../runtime/hashing.ts";
import { Generation, type GenerationInput } from "./generation.ts";

const PRIORITY_ORDER = ["interactive", "standard", "batch"];
const CACHED_PREFIXES = 1_024;
/** Finished and abandoned answers that can still be resumed. */
const KEPT_GENERATIONS = 4_096;

/** How fast the engine is. */
export interface EngineSpeed {
  readonly slots: number;
  /** Time between tokens; 0 generates whole answers at once. */
  readonly tokenMs: number;
  /** Time to read one prompt token that is not in the prefix cache. */
  readonly prefillMsPerToken: number;
}

interface Waiting {
  readonly generation: Generation;
  readonly order: number;
}

/** Counts of an engine. */
export interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
}

/** Generates answers, so many at once. */
export class BatchEngine {
  readonly counts: EngineCounts = { started: 0, finished: 0, cancelled: 0 };
  readonly #speed: EngineSpeed;
  readonly #queue: Waiting[] = [];
  readonly #running = new Set<Generation>();
  readonly #kept = new Map<string, Generation>();
  readonly #prefixes = new Map<number, true>();

  constructor(speed: EngineSpeed) {
    this.#speed = speed;
  }

  /** Requests being worked on. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests waiting for a slot. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Takes a request in. */
  submit(input: GenerationInput, priority: string): Generation {
    const generation = new Generation(input);
    this.#keep(generation);
    const order = Math.max(0, PRIORITY_ORDER.indexOf(priority));
    const at = this.#queue.findIndex((waiting) => waiting.order > order);
    this.#queue.splice(at < 0 ? this.#queue.length : at, 0, {
      generation,
      order,
    });
    this.#fill();
    return generation;
  }

  /** Answer of an earlier request, to resume it. */
  find(requestId: string): Generation | undefined {
    return this.#kept.get(requestId);
  }

  /** Gives a request up; returns whether it was still wanted. */
  cancel(requestId: string): boolean {
    const generation = this.#kept.get(requestId);
    if (
      generation === undefined || generation.finished || generation.cancelled
    ) {
      return false;
    }
    this.counts.cancelled += 1;
    generation.cancel();
    const at = this.#queue.findIndex((waiting) =>
      waiting.generation === generation
    );
    if (at >= 0) this.#queue.splice(at, 1);
    this.#running.delete(generation);
    this.#fill();
    return true;
  }

  #fill(): void {
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
    this.#fill();
  }

  /** A prompt whose beginning was seen lately is read four times as fast. */
  #prefillMs({ prompt, promptTokens }: GenerationInput): number {
    const PREFIX_LENGTH = 256;
    const CACHE_SPEED_UP = 4;
    const full = promptTokens * this.#speed.prefillMsPerToken;
    const prefix = unitHash(prompt.slice(0, PREFIX_LENGTH));
    const cached = this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, true);
    dropOldest(this.#prefixes, CACHED_PREFIXES);
    return cached ? full / CACHE_SPEED_UP : full;
  }

  #keep(generation: Generation): void {
    this.#kept.set(generation.input.requestId, generation);
    dropOldest(this.#kept, KEPT_GENERATIONS);
  }
}

function dropOldest<K>(map: Map<K, unknown>, most: number): void {
  if (map.size <= most) return;
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
