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

  /**
   * Reads the body of a request; its memory is kept until `release`. What still arrives of a refused
   * body is dropped, so that its caller can read the response.
   */
  read(req: FastifyRequest): Promise<Buffer> {
    const { max_body_bytes: limitBytes } = this.#limits;
    return new Promise((resolve, reject) => {
      let isRefused = false;
      const refuse = (err: Error) => {
        isRefused = true;
        buffer.clear();
        reservation.release();
        reject(err);
      };
      const reservation = this.#memory.open(() => refuse(overloaded()));
      const buffer = new BlockBuffer({
        maxBytes: limitBytes,
        reserve: (bytes) => reservation.growTo(bytes),
      });
      this.#reservations.set(req, reservation);
      reservation.progressMs = this.#clock.monotonicMs();
      const declared = Number(req.headers["content-length"] ?? 0);
      if (declared > limitBytes) refuse(tooLarge(limitBytes));
      else if (!buffer.prepare(declared)) refuse(overloaded());
      req.raw.on("data", (chunk: Buffer) => {
        if (isRefused) return;
        reservation.progressMs = this.#clock.monotonicMs();
        if (buffer.append(chunk)) return;
        const isTooLarge = buffer.length + chunk.length > limitBytes;
        refuse(isTooLarge ? tooLarge(limitBytes) : overloaded());
      });
      req.raw.once("end", () => {
        reservation.complete();
        if (!isRefused) resolve(buffer.bytes());
      });
      // Has no effect after "end", which has resolved the promise already.
      req.raw.once("close", () => reject(new Error("Body was cut short")));
    });
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
