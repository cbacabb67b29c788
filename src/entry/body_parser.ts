/** Reads the bodies of callers' requests into memory that they share. */

import type { Buffer } from "node:buffer";
import type { FastifyRequest } from "fastify";
import {
  BodyMemory,
  type BodyReservation,
} from "../core/limits/body_memory.ts";
import type { RequestError } from "../core/request_error.ts";
import { BlockBuffer } from "../runtime/block_buffer.ts";
import type { Clock } from "../runtime/clock.ts";

/** Bodies of finished requests free memory within about this time. */
const MEMORY_WAIT_MS = 500;
/** Part of the memory for bodies that small ones have while the others use up the rest. */
const SMALL_BODIES_SHARE = 0.25;

/** A body that is refused before it was read completely. */
export class BodyRefusedError extends Error {
  readonly requestError: RequestError;

  constructor(requestError: RequestError) {
    super(`Body refused: ${requestError.tag}`);
    this.requestError = requestError;
  }
}

/** Limits of the bodies, from the settings. */
export interface BodyParserLimits {
  readonly max_body_bytes: number;
  readonly max_bodies_bytes: number;
}

/** Content parser for bodies of any type. */
export class BodyParser {
  readonly #limits: BodyParserLimits;
  readonly #clock: Clock;
  readonly #memory: BodyMemory;
  readonly #reservations = new Map<FastifyRequest, BodyReservation>();

  constructor(limits: BodyParserLimits, clock: Clock) {
    this.#limits = limits;
    this.#clock = clock;
    this.#memory = new BodyMemory({
      limitBytes: limits.max_bodies_bytes,
      smallBytes: SMALL_BODIES_SHARE * limits.max_bodies_bytes,
    });
  }

  /** Reads the body of a request; its memory is kept until `release`. */
  async read(req: FastifyRequest): Promise<Buffer> {
    const { max_body_bytes: limitBytes } = this.#limits;
    const declared = Number(req.headers["content-length"] ?? 0);
    if (declared > limitBytes) throw tooLarge(limitBytes);
    const reservation = this.#memory.open(() => {
      reservation.release();
      // Ends the loop below.
      req.raw.destroy(overloaded());
    });
    this.#reservations.set(req, reservation);
    const buffer = new BlockBuffer({
      maxBytes: limitBytes,
      reserve: (bytes) => reservation.growTo(bytes),
    });
    reservation.progressMs = this.#clock.monotonicMs();
    if (!buffer.prepare(declared)) throw overloaded();
    for await (const chunk of req.raw as AsyncIterable<Buffer>) {
      reservation.progressMs = this.#clock.monotonicMs();
      if (buffer.append(chunk)) continue;
      const isTooLarge = buffer.length + chunk.length > limitBytes;
      throw isTooLarge ? tooLarge(limitBytes) : overloaded();
    }
    reservation.complete();
    return buffer.bytes();
  }

  /** Frees the memory of a request that has ended. */
  release(req: FastifyRequest): void {
    this.#reservations.get(req)?.release();
    this.#reservations.delete(req);
  }
}

function tooLarge(limitBytes: number): BodyRefusedError {
  return new BodyRefusedError({ tag: "too_large", limitBytes });
}

function overloaded(): BodyRefusedError {
  return new BodyRefusedError({
    tag: "overloaded",
    retryAfterMs: MEMORY_WAIT_MS,
  });
}
