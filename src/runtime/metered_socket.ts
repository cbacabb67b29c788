/** A TCP socket whose reader can be told what it reads. */

import type { Buffer } from "node:buffer";
import { Socket, type SocketConstructorOpts } from "node:net";

/** Called with the bytes read; returns whether they may be processed. */
export type ReadListener = (chunk: Buffer) => boolean;

/**
 * Reports each read before its bytes are processed. A parser reads as long as bytes are available, so
 * a timer would notice a flood of bytes only after the parser has processed it.
 */
export class MeteredSocket extends Socket {
  #listener: ReadListener | undefined;

  constructor(options: SocketConstructorOpts) {
    super(options);
  }

  /** Sets the listener for all further reads. */
  meterReads(listener: ReadListener): void {
    this.#listener = listener;
  }

  override read(size?: number): unknown {
    const chunk = super.read(size);
    if (chunk === null || this.#listener === undefined) return chunk;
    return this.#listener(chunk) ? chunk : null;
  }
}
