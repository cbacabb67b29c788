/** Limits the memory for the bodies of callers' requests, which are kept until their requests end. */

import type { VmSettings } from "../platform/vm_settings_wire.ts";

const BYTES_PER_MB = 1_000_000;
/** Share of the VM's memory that the bodies of all requests may take together. */
const BODY_SHARE = 0.2;
/** A body up to this size is read even while larger ones use up the memory. */
const SMALL_BODY_BYTES = 16 * 1_024;

/** Memory that all request bodies share. */
export class RequestMemory {
  readonly #limitBytes: number;
  #used = 0;

  constructor({ vmSettings }: { vmSettings: Pick<VmSettings, "memoryMb"> }) {
    this.#limitBytes = vmSettings.memoryMb * BYTES_PER_MB * BODY_SHARE;
  }

  /** Bytes used by all bodies together. */
  get used(): number {
    return this.#used;
  }

  /** Returns a reservation for one body, which is empty at first. */
  open(): BodyReservation {
    return new BodyReservation((bytes, own) => {
      const isSmall = own + bytes <= SMALL_BODY_BYTES;
      if (!isSmall && this.#used + bytes > this.#limitBytes) return false;
      this.#used += bytes;
      return true;
    });
  }
}

/** Memory reserved for the body of one request. */
export class BodyReservation {
  /** Reserves or, if negative, releases bytes of a body that has `own` bytes already. */
  readonly #reserve: (bytes: number, own: number) => boolean;
  #bytes = 0;

  constructor(reserve: (bytes: number, own: number) => boolean) {
    this.#reserve = reserve;
  }

  /** Reserves memory for a body of at least this size; returns whether there is enough. */
  growTo(bytes: number): boolean {
    const more = bytes - this.#bytes;
    if (more <= 0) return true;
    if (!this.#reserve(more, this.#bytes)) return false;
    this.#bytes = bytes;
    return true;
  }

  /** Frees the memory; further calls have no effect. */
  release(): void {
    this.#reserve(-this.#bytes, 0);
    this.#bytes = 0;
  }
}
