/**
 * Stand-in for the platform's metadata store: objects by kind and name, conditions by revision,
 * lists and watches. It loses nothing and answers at once.
 */

import { createServer } from "node:http";

/** Starts the store on a free port of a loopback address. */
export async function startStore(host) {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 1;

  const kindOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const changed = (kind, object, deleted) => {
    events.push({ kind, object: structuredClone(object), deleted });
    for (const wake of [...waiting]) wake();
  };

  /** Creates or replaces the spec, the status or both. */
  const put = (kind, name, { spec, status }) => {
    const objects = kindOf(kind);
    const known = objects.get(name);
    revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: revision,
        Created: known?.Metadata.Created ?? revision,
        Finalizers: [],
        DeletionPending: false,
      },
      Spec: spec ?? known?.Spec ?? {},
      Status: status ?? known?.Status ?? {},
    };
    objects.set(name, object);
    changed(kind, object, false);
    return object;
  };
  const remove = (kind, name) => {
    const objects = kindOf(kind);
    const known = objects.get(name);
    if (known === undefined) return;
    objects.delete(name);
    revision += 1;
    known.Metadata.Revision = revision;
    changed(kind, known, true);
  };

  const send = (res, status, body) => {
    const text = JSON.stringify(body ?? {});
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "store-era": "1",
    });
    res.end(text);
  };

  const watch = (res, { kind, since, waitMs }) => {
    const answer = () => {
      const found = events.filter((event) =>
        event.kind === kind && event.object.Metadata.Revision > since
      );
      if (found.length === 0) return false;
      waiting.delete(answer);
      clearTimeout(timer);
      send(res, 200, {
        events: found.map(({ object, deleted }) => ({
          Object: object,
          Deleted: deleted,
        })),
        StoreRevision: revision,
      });
      return true;
    };
    const timer = setTimeout(() => {
      waiting.delete(answer);
      send(res, 200, { events: [], StoreRevision: revision });
    }, waitMs);
    res.on("close", () => {
      waiting.delete(answer);
      clearTimeout(timer);
    });
    if (!answer()) waiting.add(answer);
  };

  const handle = (req, res, body) => {
    const url = new URL(req.url, "http://store");
    const match = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/.exec(
      url.pathname,
    );
    if (match === null) return send(res, 404);
    const kind = decodeURIComponent(match[1]);
    const name = match[2] && decodeURIComponent(match[2]);
    const isStatus = match[3] !== undefined;
    const objects = kindOf(kind);
    const known = name === undefined ? undefined : objects.get(name);
    if (req.method === "GET" && name !== undefined) {
      return known === undefined ? send(res, 404) : send(res, 200, known);
    }
    if (req.method === "GET") {
      const since = url.searchParams.get("Watch");
      if (since !== null) {
        const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
        return watch(res, { kind, since: Number(since), waitMs });
      }
      return send(res, 200, {
        Entries: [...objects.values()].sort((a, b) =>
          a.Metadata.Name < b.Metadata.Name ? -1 : 1
        ),
        HasMore: false,
        StoreRevision: revision,
      });
    }
    if (req.method === "POST") {
      const made = body.Metadata?.Name;
      const existing = objects.get(made);
      if (existing !== undefined) return send(res, 409, existing);
      return send(res, 200, put(kind, made, { spec: body.Spec }));
    }
    if (known === undefined) return send(res, 404);
    const expected = body?.Metadata?.Revision ??
      (url.searchParams.has("Revision")
        ? Number(url.searchParams.get("Revision"))
        : undefined);
    if (expected !== undefined && expected !== known.Metadata.Revision) {
      return send(res, 409, known);
    }
    if (req.method === "DELETE") {
      remove(kind, name);
      return send(res, 200, known);
    }
    if (req.method !== "PUT") return send(res, 405);
    const change = isStatus ? { status: body.Status } : { spec: body.Spec };
    return send(res, 200, put(kind, name, change));
  };

  const server = createServer((req, res) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      try {
        handle(req, res, text === "" ? undefined : JSON.parse(text));
      } catch (err) {
        send(res, 400, { error: err.message });
      }
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    get: (kind, name) => kindOf(kind).get(name),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
