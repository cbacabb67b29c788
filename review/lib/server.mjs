/**
 * Stand-in for a server of a service. It keeps its entry in the store, answers as the pages say,
 * and may crash: its connections are reset, nothing listens, and some seconds later it is back under
 * its id with a new start time.
 */

import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;

export class Server {
  #options;
  #http;
  #sockets = new Set();
  #port = 0;
  #heartbeat;
  #silentBeats = 0;
  #stopped = false;
  bornMs = 0;
  isUp = false;
  crashes = 0;
  state = "ready";

  /** `run` is called with each request that reaches the server, once its body has been read. */
  constructor(store, { name, service, run, slots = 64, version = "v1" }) {
    this.#options = { store, service, run, slots, version };
    this.name = name;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  async start() {
    this.#http = createServer((req, res) => this.#receive(req, res));
    this.#http.keepAliveTimeout = 20_000;
    this.#http.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((done, fail) => {
      this.#http.once("error", fail);
      this.#http.listen(this.#port, "127.0.0.1", done);
    });
    this.#port = this.#http.address().port;
    this.bornMs = Date.now();
    this.isUp = true;
    this.state = "ready";
    this.writeEntry();
    this.#heartbeat ??= setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  /**
   * Ends the process of the server: no more byte is sent, and nothing listens. As with a process that
   * is killed, connections end plainly, or by a reset if bytes had not been read.
   */
  crash(backAfterMs, { resets = true } = {}) {
    if (!this.isUp) return;
    this.isUp = false;
    this.crashes += 1;
    this.#http.close();
    for (const socket of this.#sockets) {
      if (resets) socket.resetAndDestroy();
      else socket.destroy();
    }
    setTimeout(() => {
      if (!this.#stopped) void this.start();
    }, backAfterMs);
  }

  stop() {
    this.#stopped = true;
    this.isUp = false;
    clearInterval(this.#heartbeat);
    this.#http.closeAllConnections();
    this.#http.close();
  }

  /** Writes the entry of the server to the store. */
  writeEntry() {
    const { store, service, slots, version } = this.#options;
    store.put("servers", this.name, {
      spec: {
        Service: service,
        Address: this.entryAddress ?? this.address,
        Zone: "qc-hall",
        Version: version,
        Slots: slots,
        State: this.state,
        WarmupLeftMs: 0,
        Sequence: 0,
        born: this.bornMs,
      },
    });
  }

  /** The entry goes after three heartbeats of silence. */
  #beat() {
    this.#silentBeats = this.isUp ? 0 : this.#silentBeats + 1;
    if (this.#silentBeats === 3) {
      this.#options.store.remove("servers", this.name);
    }
  }

  #receive(req, res) {
    if (req.method === "GET" && req.url === "/-/report") {
      return sendJson(res, {
        Phase: "both",
        Models: [],
        Utilization: false,
        Sequence: 0,
        Queued: 0,
        Active: 0,
        KvUsed: 0,
        KvTotal: 504674,
        KvHandles: 0,
        born: this.bornMs,
      });
    }
    if (req.method === "GET" && req.url === "/healthz") {
      res.setHeader("fieldrack-instance-id", this.name);
      return sendJson(res, { born: this.bornMs });
    }
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => {});
    res.on("error", () => {});
    req.on("end", () => {
      const attempt = req.headers["fieldrack-attempt-id"];
      if (attempt !== undefined) {
        res.setHeader("fieldrack-attempt-id", attempt);
      }
      const expected = req.headers["fieldrack-expect-instance"];
      if (expected !== undefined && expected !== this.name) {
        res.setHeader("fieldrack-not-processed", "1");
        return res.writeHead(421).end();
      }
      const body = Buffer.concat(chunks);
      this.#options.run({ server: this, req, res, body, attempt });
    });
  }
}

/** Head of a successful answer with the seal of its server. */
export function seal(res, server) {
  res.setHeader("fieldrack-server-seal", `${server.name}.${server.bornMs}`);
}

/** Writes a stream of `count` events, from the one after `Last-Event-Id`. */
export function stream({ server, req, res }, { count, gapMs, firstMs }) {
  let id = Number(req.headers["last-event-id"] ?? 0);
  const next = () => {
    if (!server.isUp || res.destroyed) return;
    if (!res.headersSent) {
      seal(res, server);
      res.writeHead(200, { "content-type": "text/event-stream" });
    }
    id += 1;
    res.write(`id: ${id}\ndata: token ${id}\n\n`);
    if (id >= count) return res.end();
    setTimeout(next, gapMs);
  };
  setTimeout(next, firstMs);
}

function sendJson(res, body) {
  const text = JSON.stringify(body);
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
