/**
 * Stands before a server, so that it can read slowly: one chunk of each connection at an interval.
 * What has arrived otherwise waits.
 */

import { connect, createServer } from "node:net";

/** Pause between two chunks of at most 64 KiB. */
const CHUNK_INTERVAL_MS = 500;
const ATTEMPT = /^fieldrack-attempt-id: *(\S+)/im;

export class SlowReader {
  #server;
  #sockets = new Set();
  #onHead;
  isSlow = false;

  /** `onHead` is called with the attempt whose head the server has read first on a connection. */
  constructor(onHead) {
    this.#onHead = onHead;
  }

  /** Listens for a server; returns the address that its entry is to name. */
  async listen(address) {
    const [host, port] = address.split(":");
    this.#server = createServer((socket) => {
      const inner = connect({ host, port });
      for (const one of [socket, inner]) one.on("error", () => {});
      socket.on("close", () => inner.destroy());
      inner.on("close", () => socket.destroy());
      inner.pipe(socket);
      let isFirst = true;
      socket.on("data", (chunk) => {
        if (isFirst) this.#onHead(ATTEMPT.exec(chunk.toString("latin1"))?.[1]);
        isFirst = false;
        const isFull = !inner.write(chunk);
        socket.pause();
        const resume = () => socket.resume();
        if (this.isSlow) setTimeout(resume, CHUNK_INTERVAL_MS);
        else if (isFull) inner.once("drain", resume);
        else resume();
      });
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}
