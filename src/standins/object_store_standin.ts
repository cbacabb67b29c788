/** Stand-in for the store of the users' platform: the published protocol, and faults. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { listenHttp } from "../runtime/listen.ts";
import { pause } from "../runtime/pause.ts";
import { type KeptObject, ObjectKinds } from "./object_kinds.ts";

/** Objects on one page of a list. */
const DEFAULT_PAGE = 500;

/** What may go wrong. */
export interface StoreFaults {
  /** Every call is answered with 503. */
  readonly down?: boolean;
  /** Every call is answered late, in milliseconds. */
  readonly delayMs?: number;
  /** Writes take effect, and their connections end without an answer. */
  readonly loseWriteAnswers?: boolean;
  /** Watches never answer. */
  readonly watchesStuck?: boolean;
  /** Watches answer at a change, but without it. */
  readonly watchesEmpty?: boolean;
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

/** The store, in memory. */
export class ObjectStoreStandin {
  readonly kinds = new ObjectKinds();
  readonly #http: FastifyInstance;
  readonly #page: number;
  #faults: StoreFaults = {};
  #calls = 0;

  constructor({ page = DEFAULT_PAGE } = {}) {
    this.#page = page;
    this.#http = fastify({ forceCloseConnections: true });
    this.#http.addHook("onRequest", (_req, reply) => this.#fault(reply));
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

  /** Calls so far. */
  get calls(): number {
    return this.#calls;
  }

  /** Starts to listen on loopback; returns the address. */
  listen(): Promise<string> {
    return listenHttp(this.#http, "127.0.0.1:0");
  }

  /** Ends all connections. */
  close(): Promise<void> {
    this.kinds.releaseWatches();
    return this.#http.close();
  }

  /** Switches faults on and off. */
  setFaults(faults: StoreFaults): void {
    this.#faults = faults;
  }

  async #fault(reply: FastifyReply): Promise<void> {
    this.#calls += 1;
    const { delayMs = 0, down = false } = this.#faults;
    if (delayMs > 0) await pause(delayMs);
    if (down) await reply.code(503).send();
  }

  #get(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind, name } = req.params as Params;
    const object = this.kinds.get(kind, name);
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
    const rest = this.kinds.list(kind).filter(({ name }) => name > After);
    return reply.send({
      Entries: rest.slice(0, this.#page).map(encode),
      HasMore: rest.length > this.#page,
      StoreRevision: this.kinds.revision,
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
    if (this.kinds.isForgotten(revision)) return reply.code(410).send();
    const stuck = () => this.#faults.watchesStuck === true;
    let closed = false;
    reply.raw.once("close", () => {
      closed = true;
      this.kinds.releaseWatches();
    });
    const events = await this.kinds.waitFor(kind, {
      revision,
      waitMs,
      stuck,
      gone: () => closed,
    });
    const told = this.#faults.watchesEmpty === true ? [] : events;
    return reply.send({
      events: told.map(({ object, deleted }) => ({
        Object: encode(object),
        Deleted: deleted,
      })),
      StoreRevision: this.kinds.revision,
    });
  }

  #create(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind } = req.params as Params;
    const { Metadata, Spec } = req.body as Body;
    const name = Metadata?.Name ?? "";
    const known = this.kinds.get(kind, name);
    if (known !== undefined) return reply.code(409).send(encode(known));
    return this.#answer(reply, this.kinds.put(kind, { name, spec: Spec }));
  }

  #put(req: FastifyRequest, reply: FastifyReply): FastifyReply {
    const { kind, name } = req.params as Params;
    const { Metadata, Spec, Status } = req.body as Body;
    const known = this.kinds.get(kind, name);
    if (known === undefined) return reply.code(404).send();
    const expected = Metadata?.Revision;
    if (expected !== undefined && expected !== known.revision) {
      return reply.code(409).send(encode(known));
    }
    const change = req.url.split("?")[0]?.endsWith("/status")
      ? { name, status: Status }
      : { name, spec: Spec };
    return this.#answer(reply, this.kinds.put(kind, change));
  }

  #answer(reply: FastifyReply, object: KeptObject): FastifyReply {
    if (this.#faults.loseWriteAnswers !== true) {
      return reply.send(encode(object));
    }
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
}

function encode({ name, revision, created, spec, status }: KeptObject) {
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
