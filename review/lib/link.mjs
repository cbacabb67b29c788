/**
 * The link to a server. While it is cut, open connections have been reset, and new ones hang, as behind
 * a partition that drops packets.
 */

import { once } from "node:events";
import { connect, createServer } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { Worker } from "node:worker_threads";

const HOST = "127.0.0.1";
/** More connections than the queue of the blocked listener holds. */
const QUEUED = 4;
/** Listens with a short queue and blocks its thread, so that nothing is accepted. */
const BLOCKED = `
  const { parentPort } = require("node:worker_threads");
  const server = require("node:net").createServer();
  parentPort.once("message", (port) => {
    server.listen({ port, host: "${HOST}", backlog: 1 }, () => {
      parentPort.postMessage("listening");
      setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
    });
  });
`;
/** Time until the connections that fill the queue are in it. */
const FILL_MS = 5;

export class Link {
  #server;
  #port = 0;
  #target;
  #sockets = new Set();
  #worker;
  #queued = [];

  /** Listens for a server; returns the address that its entry is to name. */
  async listen(address) {
    const [host, port] = address.split(":");
    this.#target = { host, port };
    await this.#open();
    return `${HOST}:${this.#port}`;
  }

  /** Cuts the link. */
  async cut() {
    this.#server.close();
    this.#worker.postMessage(this.#port);
    await once(this.#worker, "message");
    for (let n = 0; n < QUEUED; n++) {
      const socket = connect({ host: HOST, port: this.#port });
      this.#queued.push(socket.on("error", () => {}));
    }
    await pause(FILL_MS);
    // The server does not notice, and goes on.
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Heals the link. */
  async heal() {
    for (const socket of this.#queued) socket.destroy();
    this.#queued = [];
    await this.#worker.terminate();
    await this.#open();
  }

  async close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    for (const socket of this.#queued) socket.destroy();
    await this.#worker?.terminate();
  }

  async #open() {
    this.#worker = new Worker(BLOCKED, { eval: true });
    this.#server = createServer((socket) => {
      const inner = connect(this.#target);
      for (const one of [socket, inner]) one.on("error", () => {});
      socket.on("data", (chunk) => inner.write(chunk));
      socket.on("end", () => inner.end());
      inner.on("data", (chunk) => socket.write(chunk));
      inner.on("close", () => socket.destroy());
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(this.#port, HOST, done);
    });
    this.#port = this.#server.address().port;
  }
}
