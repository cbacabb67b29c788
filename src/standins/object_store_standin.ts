/** Stand-in for the object store of the users' platform, with fault injection. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { listenHttp } from "../runtime/listen.ts";
import { pause } from "../runtime/pause.ts";
import { stringifyWithRawJson } from "./raw_json.ts";
import { type StoredObject, VersionedObjects } from "./versioned_objects.ts";

/** Objects per page of a list. */
const DEFAULT_PAGE_SIZE = 500;

/** Faults that a test can inject. */
export interface StoreFaults {
  /** Every call is answered with 503. */
  readonly down?: boolean;
  /** Delay before every answer, in milliseconds. */
  readonly delayMs?: number;
  /** Writes take effect, but their connections are closed without an answer. */
  readonly loseWriteAnswers?: boolean;
  /** Watches report no changes and time out empty. */
  readonly watchesStuck?: boolean;
  /** Watches answer when an object changes, but leave the change out. */
  readonly watchesEmpty?: boolean;
  /** Answers name no era, as those of an older platform. */
  readonly eraMissing?: boolean;
  /** Watches are refused as if their history was lost, whatever their revision. */
  readonly historyAlwaysLost?: boolean;
}

interface Params {
  readonly kind: string;
  readonly name: string;
}

interface Query {
  readonly After?: string;
  readonly Watch?: string;
  readonly WaitMs?: string;
  readonly Revision?: string;
}

interface Body {
  readonly Metadata?: { readonly Name?: string; readonly Revision?: number };
  readonly Spec?: unknown;
  readonly Status?: unknown;
}

/** In-memory implementation of the store's HTTP protocol. */
export class ObjectStoreStandin {
  readonly objects = new VersionedObjects();
  readonly #http: FastifyInstance;
  readonly #pageSize: number;
  #faults: StoreFaults = {};
  #calls = 0;
  #reads = 0;
  readonly #lists = new Map<string, number>();

  constructor({ page = DEFAULT_PAGE_SIZE } = {}) {
    this.#pageSize = page;
    this.#http = fastify({ forceCloseConnections: true });
    this.#http.addHook(
      "onRequest",
      (req, reply) => this.#applyFaults(req, reply),
    );
    this.#http.addHook("onSend", (_req, reply, payload, done) => {
      if (this.#faults.eraMissing !== true) {
        reply.header("store-era", String(this.objects.era));
      }
      done(null, payload);
    });
    this.#http.setReplySerializer(stringifyWithRawJson);
    const base = "/-/objects/:kind";
    this.#http.get(base, (req, reply) => this.#listOrWatch(req, reply));
    this.#http.post(base, (req, reply) => this.#create(req, reply));
    this.#http.get(`${base}/:name`, (req, reply) => this.#get(req, reply));
    this.#http.put(`${base}/:name`, (req, reply) => this.#put(req, reply));
    this.#http.put(
      `${base}/:name/status`,
      (req, reply) => this.#put(req, reply),
    );
  }

  /** Number of HTTP requests received. */
  get calls(): number {
    return this.#calls;
  }

  /** Number of reading calls among them; the platform limits them apart from writing ones. */
  get reads(): number {
    return this.#reads;
  }

  /** Number of calls for the list of a kind; further pages count on their own. */
  listsOf(kind: string): number {
    return this.#lists.get(kind) ?? 0;
  }

  /** Starts listening on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return listenHttp(this.#http, "127.0.0.1:0");
  }

  /** Stops the server and closes all connections. */
  close(): Promise<void> {
    this.objects.wakeWatches();
    return this.#http.close();
  }

  /** Replaces the active faults. */
  setFaults(faults: StoreFaults): void {
    this.#faults = faults;
  }

  async #applyFaults(req: FastifyRequest, reply: FastifyReply): Promise<void> {
    this.#calls += 1;
    if (req.method === "GET") this.#reads += 1;
    const { delayMs = 0, down = false } = this.#faults;
    if (delayMs > 0) await pause(delayMs);
    if (down) await reply.code(503).send();
  }

  #get(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind, name } = req.params as Params;
    const object = this.objects.get(kind, name);
    return object === undefined
      ? reply.code(404).send()
      : reply.send(encode(object));
  }

  async #listOrWatch(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { kind } = req.params as Params;
    const { After = "", Watch, WaitMs } = req.query as Query;
    if (Watch !== undefined) {
      return await this.#watch(reply, {
        kind,
        revision: Number(Watch),
        waitMs: Number(WaitMs ?? 0),
      });
    }
    this.#lists.set(kind, this.listsOf(kind) + 1);
    const remaining = this.objects.list(kind).filter(({ name }) =>
      name > After
    );
    return reply.send({
      Entries: remaining.slice(0, this.#pageSize).map(encode),
      HasMore: remaining.length > this.#pageSize,
      StoreRevision: this.objects.revision,
    });
  }

  async #watch(
    reply: FastifyReply,
    { kind, revision, waitMs }: {
      kind: string;
      revision: number;
      waitMs: number;
    },
  ): Promise<FastifyReply> {
    const { era } = this.objects;
    const isUnknown = () =>
      this.#faults.historyAlwaysLost === true || era !== this.objects.era ||
      this.objects.isUnknown(revision);
    if (isUnknown()) return reply.code(410).send();
    const isStalled = () => this.#faults.watchesStuck === true;
    let closed = false;
    reply.raw.once("close", () => {
      closed = true;
      this.objects.wakeWatches();
    });
    const changes = await this.objects.waitFor(kind, {
      revision,
      waitMs,
      isStalled,
      isClosed: () => closed || era !== this.objects.era,
    });
    // A watch that waits during a restore ends as one from an unknown revision.
    if (isUnknown()) return reply.code(410).send();
    const reported = this.#faults.watchesEmpty === true ? [] : changes.events;
    return reply.send({
      events: reported.map(({ object, deleted }) => ({
        Object: encode(object),
        Deleted: deleted,
      })),
      StoreRevision: changes.revision,
    });
  }

  #create(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind } = req.params as Params;
    const { Metadata, Spec } = req.body as Body;
    const name = Metadata?.Name ?? "";
    const existing = this.objects.get(kind, name);
    if (existing !== undefined) return reply.code(409).send(encode(existing));
    return this.#sendWritten(
      reply,
      this.objects.put(kind, { name, spec: Spec }),
    );
  }

  #put(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind, name } = req.params as Params;
    const { Metadata, Spec, Status } = req.body as Body;
    const existing = this.objects.get(kind, name);
    if (existing === undefined) return reply.code(404).send();
    const expected = Metadata?.Revision;
    if (expected !== undefined && expected !== existing.revision) {
      return reply.code(409).send(encode(existing));
    }
    const change = req.url.split("?")[0]?.endsWith("/status")
      ? { name, status: Status }
      : { name, spec: Spec };
    return this.#sendWritten(reply, this.objects.put(kind, change));
  }

  #sendWritten(reply: FastifyReply, object: StoredObject): FastifyReply {
    if (this.#faults.loseWriteAnswers !== true) {
      return reply.send(encode(object));
    }
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
}

function encode({ name, revision, created, spec, status }: StoredObject) {
  return {
    Metadata: {
      Name: name,
      Revision: revision,
      Created: created,
      Finalizers: [],
      DeletionPending: false,
    },
    Spec: spec,
    Status: status ?? null,
  };
}
