/** A link to one server that can be cut: a cut says nothing, and what it holds up passes after it. */

import { connect, createServer } from "node:net";
import { freePort } from "./play.mjs";

export class Link {
  #pairs = new Set();
  #waiting = [];
  #isCut = false;

  /** `target` returns the port of the server behind the link. */
  constructor(target) {
    this.target = target;
  }

  async listen() {
    // Half-open: an end in one direction says nothing of the other.
    this.server = createServer({ allowHalfOpen: true }, (near) => {
      near.on("error", () => {});
      if (this.#isCut) this.#waiting.push(near);
      else this.#join(near);
    });
    this.port = await freePort();
    await new Promise((done) => this.server.listen(this.port, "127.0.0.1", done));
  }

  #join(near) {
    const far = connect({ port: this.target(), host: "127.0.0.1", allowHalfOpen: true });
    far.setNoDelay(true);
    near.setNoDelay(true);
    const pair = { near, far };
    this.#pairs.add(pair);
    const pass = (from, to) => {
      from.on("data", (data) => to.write(data));
      from.on("end", () => to.end());
      from.on("error", () => to.resetAndDestroy());
      from.on("close", () => {
        this.#pairs.delete(pair);
        if (!to.writableEnded) to.destroy();
      });
    };
    pass(near, far);
    pass(far, near);
  }

  cut() {
    this.#isCut = true;
    for (const { near, far } of this.#pairs) {
      near.pause();
      far.pause();
    }
  }

  heal() {
    this.#isCut = false;
    for (const { near, far } of this.#pairs) {
      near.resume();
      far.resume();
    }
    for (const near of this.#waiting.splice(0)) {
      if (!near.destroyed) this.#join(near);
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    for (const near of this.#waiting) near.destroy();
  }
}
