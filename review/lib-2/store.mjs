/** Stand-in of the platform's metadata store (PROTOCOL, "The platform's metadata store"). */

import { createServer } from "node:http";

/** Most bytes of the objects in a page of a list, if it holds more than one. */
const PAGE_BYTES = 1048576;

/** Objects of all kinds with one counter of revisions; lists, watches, conditional writes. */
export class Store {
  #kinds = new Map();
  #events = [];
  #revision = 1;
  #wakes = new Set();
  #server = createServer((req, res) => void this.#handle(req, res));
  /** Listener for each write of a status or spec by the system. */
  onWrite = () => {};

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const wake of [...this.#wakes]) wake();
  }

  get(kind, name) {
    return this.#kinds.get(kind)?.get(name);
  }

  /** Creates an object, or replaces its spec or status. */
  put(kind, name, { spec, status }) {
    const known = this.get(kind, name);
    const object = {
      Metadata: {
        Name: name,
        Revision: ++this.#revision,
        Created: known?.Metadata.Created ?? this.#revision,
        Finalizers: [],
        DeletionPending: false,
      },
      Spec: spec ?? known?.Spec ?? null,
      Status: status ?? known?.Status ?? null,
    };
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    this.#kinds.get(kind).set(name, object);
    this.#publish(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const known = this.get(kind, name);
    if (known === undefined) return;
    this.#kinds.get(kind).delete(name);
    const Metadata = { ...known.Metadata, Revision: ++this.#revision };
    this.#publish(kind, { ...known, Metadata }, true);
  }

  #publish(kind, object, deleted) {
    this.#events.push({ kind, object, deleted });
    for (const wake of [...this.#wakes]) wake();
  }

  async #handle(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    const url = new URL(req.url, "http://store");
    const [, , , kind, name, part] = url.pathname.split("/").map(decodeURIComponent);
    const send = (status, body) => {
      res.writeHead(status, {
        "content-type": "application/json",
        "store-era": "1",
      });
      res.end(body === undefined ? "" : JSON.stringify(body));
    };
    if (req.method === "GET" && name === undefined) {
      const watch = url.searchParams.get("Watch");
      if (watch === null) return this.#list(kind, url, send);
      const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
      return await this.#watch(kind, { after: Number(watch), waitMs, res, send });
    }
    const known = name === undefined ? undefined : this.get(kind, name);
    if (req.method === "GET") return send(known ? 200 : 404, known);
    const body = text === "" ? {} : JSON.parse(text);
    if (req.method === "POST") {
      const created = this.get(kind, body.Metadata.Name);
      if (created !== undefined) return send(409, created);
      this.onWrite(kind, body.Metadata.Name, body);
      return send(200, this.put(kind, body.Metadata.Name, { spec: body.Spec }));
    }
    if (known === undefined) return send(404);
    const expected = body.Metadata?.Revision ?? url.searchParams.get("Revision");
    if (expected != null && Number(expected) !== known.Metadata.Revision) {
      return send(409, known);
    }
    this.onWrite(kind, name, body);
    if (req.method === "DELETE") {
      this.remove(kind, name);
      return send(200, known);
    }
    const change = part === "status" ? { status: body.Status } : { spec: body.Spec };
    send(200, this.put(kind, name, change));
  }

  #list(kind, url, send) {
    const after = url.searchParams.get("After") ?? "";
    const all = [...(this.#kinds.get(kind)?.values() ?? [])]
      .filter(({ Metadata }) => Metadata.Name > after)
      .sort((a, b) => a.Metadata.Name < b.Metadata.Name ? -1 : 1);
    const page = [];
    let bytes = 0;
    for (const object of all) {
      bytes += Buffer.byteLength(JSON.stringify(object));
      if (page.length === 500 || (page.length > 0 && bytes > PAGE_BYTES)) break;
      page.push(object);
    }
    send(200, {
      Entries: page,
      HasMore: all.length > page.length,
      StoreRevision: this.#revision,
    });
  }

  async #watch(kind, { after, waitMs, res, send }) {
    const until = Date.now() + waitMs;
    for (;;) {
      const events = this.#events.filter((event) =>
        event.kind === kind && event.object.Metadata.Revision > after
      );
      const leftMs = until - Date.now();
      if (events.length > 0 || leftMs <= 0 || res.destroyed) {
        return send(200, {
          events: events.map(({ object, deleted }) => ({
            Object: object,
            Deleted: deleted,
          })),
          StoreRevision: this.#revision,
        });
      }
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          res.off("close", wake);
          this.#wakes.delete(wake);
          done();
        };
        const timer = setTimeout(wake, leftMs);
        res.once("close", wake);
        this.#wakes.add(wake);
      });
    }
  }
}
