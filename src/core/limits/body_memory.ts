/** Limits the memory for bodies of requests, which are kept until their requests end. */

/** A body up to this size has memory of its own while larger ones use up the rest. */
const SMALL_BODY_BYTES = 16 * 1_024;
/** A body may lose its memory to others if nothing of it has arrived for this long. */
const STALLED_MS = 1_000;

/** Memory of all bodies together. */
export interface BodyMemoryLimits {
  readonly limitBytes: number;
  /** Memory beyond that limit for small bodies. */
  readonly smallBytes: number;
}

/** Memory that bodies share. */
export class BodyMemory {
  readonly #limits: BodyMemoryLimits;
  readonly #incomplete = new Set<BodyReservation>();
  #used = 0;

  constructor(limits: BodyMemoryLimits) {
    this.#limits = limits;
  }

  /** Bytes used by all bodies together. */
  get used(): number {
    return this.#used;
  }

  /** Returns a reservation for one body, which is empty at first; `evict` must release it. */
  open(evict: () => void = () => {}): BodyReservation {
    const reservation = new BodyReservation(this, evict);
    this.#incomplete.add(reservation);
    return reservation;
  }

  /** Reserves more bytes for a body; returns whether there is enough memory. */
  reserve(body: BodyReservation, more: number): boolean {
    const { limitBytes, smallBytes } = this.#limits;
    const isSmall = body.bytes + more <= SMALL_BODY_BYTES;
    const limit = limitBytes + (isSmall ? smallBytes : 0);
    while (this.#used + more > limit) {
      const stalled = this.#longestStalled(body);
      if (stalled === undefined) return false;
      this.#incomplete.delete(stalled);
      stalled.evict();
    }
    this.#used += more;
    return true;
  }

  /** Returns memory that a body does not use any more. */
  release(body: BodyReservation): void {
    this.#used -= body.bytes;
    this.#incomplete.delete(body);
  }

  /** Keeps a body whatever happens, as it is complete. */
  complete(body: BodyReservation): void {
    this.#incomplete.delete(body);
  }

  #longestStalled(waiting: BodyReservation): BodyReservation | undefined {
    let longest: BodyReservation | undefined;
    for (const body of this.#incomplete) {
      if (body === waiting || body.bytes === 0) continue;
      if (waiting.progressMs - body.progressMs < STALLED_MS) continue;
      if (longest === undefined || body.progressMs < longest.progressMs) {
        longest = body;
      }
    }
    return longest;
  }
}

/** Memory reserved for the body of one request. */
export class BodyReservation {
  /** Refuses the request and releases the memory. */
  readonly evict: () => void;
  /** When bytes of the body arrived last, in monotonic milliseconds. */
  progressMs = 0;
  readonly #memory: BodyMemory;
  #bytes = 0;

  constructor(memory: BodyMemory, evict: () => void) {
    this.#memory = memory;
    this.evict = evict;
  }

  /** Bytes reserved. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Reserves memory for a body of at least this size; returns whether there is enough. */
  growTo(bytes: number): boolean {
    const more = bytes - this.#bytes;
    if (more <= 0) return true;
    if (!this.#memory.reserve(this, more)) return false;
    this.#bytes = bytes;
    return true;
  }

  /** Records that the body is complete, so that it is not evicted any more. */
  complete(): void {
    this.#memory.complete(this);
  }

  /** Frees the memory; further calls have no effect. */
  release(): void {
    this.#memory.release(this);
    this.#bytes = 0;
  }
}
