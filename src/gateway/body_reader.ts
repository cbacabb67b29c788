/** Reads the body of a caller's request. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type {
  BodyMemory,
  BodyReservation,
} from "../core/limits/body_memory.ts";
import type { Refusal } from "../core/refusal.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { Clock } from "../runtime/clock.ts";
import { BlockBuffer } from "../runtime/block_buffer.ts";

/** The body, undefined if it is empty, or why it was refused. */
export type BodyResult = Result<Buffer | undefined, Refusal>;

/** What a reader needs. */
export interface BodyReaderOptions {
  readonly limitBytes: number;
  readonly memory: BodyMemory;
  readonly clock: Clock;
}

/** Reads one body into memory that it shares with the bodies of all other requests. */
export class BodyReader {
  readonly #req: IncomingMessage;
  readonly #clock: Clock;
  readonly #reservation: BodyReservation;
  readonly #buffer: BlockBuffer;
  readonly #limitBytes: number;
  readonly #result: Promise<BodyResult>;
  #resolve: (result: BodyResult) => void = () => {};
  #isDone = false;

  constructor(
    req: IncomingMessage,
    { limitBytes, memory, clock }: BodyReaderOptions,
  ) {
    this.#req = req;
    this.#clock = clock;
    this.#limitBytes = limitBytes;
    this.#reservation = memory.open(() => this.#refuse({ tag: "bodies_full" }));
    this.#buffer = new BlockBuffer({
      maxBytes: limitBytes,
      reserve: (bytes) => this.#reservation.growTo(bytes),
    });
    this.#result = new Promise((resolve) => this.#resolve = resolve);
  }

  /**
   * Reads the whole body. One for which there is not enough memory is refused before it is read, and
   * what still arrives of a refused one is dropped.
   */
  read(): Promise<BodyResult> {
    const declared = Number(this.#req.headers["content-length"] ?? 0);
    this.#reservation.progressMs = this.#clock.monotonicMs();
    if (!this.#buffer.prepare(Math.min(declared, this.#limitBytes))) {
      this.#refuse({ tag: "bodies_full" });
    }
    this.#req.on("data", (chunk: Buffer) => this.#receive(chunk));
    this.#req.once("end", () => {
      this.#reservation.complete();
      const bytes = this.#buffer.bytes();
      this.#finish(ok(bytes.length === 0 ? undefined : bytes));
    });
    this.#req.once("close", () => {
      // Has no effect after "end", which has finished the body already.
      this.#refuse({ tag: "malformed", reason: "Body was cut short" });
    });
    return this.#result;
  }

  /** Refuses the body if nothing of it has arrived for `idleTimeoutMs`. */
  checkProgress(nowMs: number, idleTimeoutMs: number): void {
    if (this.#isDone) return;
    if (nowMs - this.#reservation.progressMs < idleTimeoutMs) return;
    this.#refuse({ tag: "too_slow", idleMs: idleTimeoutMs });
  }

  /** Frees the memory of the body, which is not used any more. */
  release(): void {
    this.#reservation.release();
  }

  #receive(chunk: Buffer): void {
    if (this.#isDone) return;
    this.#reservation.progressMs = this.#clock.monotonicMs();
    const limitBytes = this.#limitBytes;
    if (this.#buffer.length + chunk.length > limitBytes) {
      this.#refuse({ tag: "too_large", limitBytes });
    } else if (!this.#buffer.append(chunk)) {
      this.#refuse({ tag: "bodies_full" });
    }
  }

  #refuse(refusal: Refusal): void {
    if (this.#isDone) return;
    this.#buffer.clear();
    this.#reservation.release();
    this.#finish(fail(refusal));
  }

  #finish(result: BodyResult): void {
    this.#isDone = true;
    this.#resolve(result);
  }
}
