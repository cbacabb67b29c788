/** Limits the memory for responses that wait for their callers to read them. */

/** Responses that callers have not read, oldest first. */
export class UnreadResponses {
  readonly #limitBytes: number;
  readonly #onClosed: () => void;
  readonly #waiting = new Set<UnreadResponse>();
  #used = 0;

  /** `onClosed` is called for each connection that is closed for want of memory. */
  constructor(limitBytes: number, onClosed: () => void = () => {}) {
    this.#limitBytes = limitBytes;
    this.#onClosed = onClosed;
  }

  /** Bytes of all responses that wait. */
  get used(): number {
    return this.#used;
  }

  /** Returns the record of one response; `close` must end its connection. */
  open(close: () => void): UnreadResponse {
    return new UnreadResponse(this, close);
  }

  /** Records a change; while all take too much memory, closes the one that has waited longest. */
  update(response: UnreadResponse, change: number): void {
    this.#used += change;
    if (response.bytes === 0) this.#waiting.delete(response);
    else this.#waiting.add(response);
    if (change <= 0) return;
    for (const oldest of this.#waiting) {
      if (this.#used <= this.#limitBytes) return;
      oldest.setBytes(0);
      oldest.close();
      this.#onClosed();
    }
  }
}

/** Bytes of one response that its caller has not read. */
export class UnreadResponse {
  /** Closes the connection. */
  readonly close: () => void;
  readonly #all: UnreadResponses;
  #bytes = 0;

  constructor(all: UnreadResponses, close: () => void) {
    this.#all = all;
    this.close = close;
  }

  /** Bytes that wait. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Sets the bytes that wait now; 0 once the caller has read all. */
  setBytes(bytes: number): void {
    const change = bytes - this.#bytes;
    if (change === 0) return;
    this.#bytes = bytes;
    this.#all.update(this, change);
  }
}
