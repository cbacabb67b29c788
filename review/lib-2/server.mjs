/** A small backend server: HTTP/1.1 as PROTOCOL tells it, with its entry in the store. */

import { createServer } from "node:net";
import { freePort, HEARTBEAT_MS, record } from "./play.mjs";

/** Parses requests of one connection and passes each, with its body, to the handler in turn. */
function serveConnection(socket, handle) {
  let bytes = Buffer.alloc(0);
  let isBusy = false;
  const next = async () => {
    if (isBusy) return;
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) return;
    const [line, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const [method, path] = line.split(" ");
    const headers = {};
    for (const text of lines) {
      const at = text.indexOf(":");
      headers[text.slice(0, at).toLowerCase()] = text.slice(at + 1).trim();
    }
    const length = Number(headers["content-length"] ?? 0);
    if (bytes.length < end + 4 + length) return;
    const body = bytes.subarray(end + 4, end + 4 + length);
    bytes = bytes.subarray(end + 4 + length);
    isBusy = true;
    await handle({ method, path, headers, body, socket });
    isBusy = false;
    void next();
  };
  socket.on("data", (chunk) => {
    bytes = Buffer.concat([bytes, chunk]);
    void next();
  });
  socket.on("error", () => {});
}

let serial = 0;

function newId() {
  return `i-${(0x3e1b00 + ++serial).toString(16)}`;
}

/** One server of a service; `answer` handles each request. */
export class Server {
  constructor(play, { service, zone = "tosu-hall", version = "v1", slots = 6, answer }) {
    this.play = play;
    this.service = service;
    this.zone = zone;
    this.version = version;
    this.slots = slots;
    this.answer = answer;
    this.id = newId();
    this.sockets = new Set();
    this.isUp = false;
    this.port = 0;
  }

  async start() {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("close", () => this.sockets.delete(socket));
      serveConnection(socket, (req) => this.#handle(req));
    });
    if (this.port === 0) this.port = await freePort();
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(this.port, "127.0.0.1", done);
    });
    this.isUp = true;
    this.born = Date.now();
    this.list();
  }

  /** Address in the server's entry: its own, or that of a link before it. */
  get address() {
    return `127.0.0.1:${this.link?.port ?? this.port}`;
  }

  /** Writes the server's entry in the store. */
  list(state = "ready") {
    this.play.store.put("servers", this.id, {
      spec: {
        Service: this.service,
        Address: this.address,
        Zone: this.zone,
        Version: this.version,
        Slots: this.slots,
        State: state,
        WarmupLeftMs: 0,
        Sequence: 1,
        born: this.born,
      },
    });
  }

  /** The process is killed: the system closes its connections, its port is dead. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
    this.sockets.clear();
    const { born, id } = this;
    // The entry goes after three heartbeats of silence.
    setTimeout(() => {
      const isBack = this.isUp && this.id === id && this.born !== born;
      if (!isBack) this.play.store.remove("servers", id);
    }, 3 * HEARTBEAT_MS).unref();
  }

  /** Each start begins a new incarnation with a new id. */
  async restart() {
    this.id = newId();
    await this.start();
  }

  async stop() {
    this.isUp = false;
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async #handle(req) {
    const { headers, path, socket } = req;
    if (path === "/healthz") {
      return write(socket, 200, { "Fieldrack-Instance-Id": this.id }, "ok");
    }
    if (path === "/-/report") {
      return write(socket, 200, { "Content-Type": "application/json" }, JSON.stringify({
        born: this.born,
        Phase: "both",
        Models: [{ Name: "daka510000", Version: 1, Adapters: [] }],
        Utilization: false,
        Sequence: 1,
        Queued: 0,
        Active: 0,
        KvUsed: 0,
        KvTotal: 439367,
        KvHandles: 0,
      }));
    }
    const attempt = headers["fieldrack-attempt-id"];
    const expected = headers["fieldrack-expect-instance"];
    if (attempt === undefined) {
      return write(socket, 400, { "Fieldrack-Not-Processed": "1" }, "");
    }
    if (expected !== undefined && expected !== this.id) {
      return write(socket, 421, {
        "Fieldrack-Not-Processed": "1",
        "Fieldrack-Attempt-Id": attempt,
      }, "");
    }
    record(`run ${attempt} at ${this.id}`);
    await this.answer(req, this);
  }
}

/** Headers that the server's own answer to a request carries. */
export function sealed(req, server) {
  return {
    "Fieldrack-Attempt-Id": req.headers["fieldrack-attempt-id"],
    "Fieldrack-Server-Seal": `seal.${server.id}.${req.headers["fieldrack-attempt-id"]}`,
  };
}

/** Writes a whole answer. */
export function write(socket, status, headers, body) {
  const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) })
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(`HTTP/1.1 ${status} X\r\n${lines}\r\n${body}`);
}

/** Writes the head of a stream of events. */
export function beginStream(req, server) {
  const lines = Object.entries({
    ...sealed(req, server),
    "Fieldrack-Confidence": 90,
    "Fieldrack-Weight-Versions": 1,
    "Content-Type": "text/event-stream",
    "Transfer-Encoding": "chunked",
  }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n`);
}

/** Writes the head of a stream that ends with its connection. */
export function beginUnframed(req, server) {
  const lines = Object.entries({
    ...sealed(req, server),
    "Fieldrack-Confidence": 90,
    "Fieldrack-Weight-Versions": 1,
    "Content-Type": "text/event-stream",
    "Connection": "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n`);
}

/** Writes one chunk; an empty one ends the body. */
export function chunk(socket, text) {
  socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
}
