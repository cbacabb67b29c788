/** Stand-in for the platform's object API, with fault injection. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import * as z from "zod";
import {
  HEAD_KEY,
  MAX_VALUE_BYTES,
} from "../core/config/stored_configuration.ts";
import {
  type PlatformObject,
  type VmList,
  vmListSchema,
} from "../protocol/platform_schema.ts";
import { listenHttp } from "../runtime/listen.ts";
import { PlatformObjects } from "./platform_objects.ts";
import { TokenBucket } from "./token_bucket.ts";

const READS_PER_SECOND = 2_000;
const WRITES_PER_SECOND = 300;
const DEFAULT_VM_LIST_LAG_MS = 1_000;
const RETRY_AFTER_MS = 100;

const faultsSchema = z.strictObject({
  /** Every call is answered with 503. */
  down: z.boolean().optional(),
  /** Delay before every answer, in milliseconds. */
  delay_ms: z.number().min(0).optional(),
  /** Number of writes that take effect but whose connections are closed without an answer. */
  lose_write_answers: z.int().min(0).optional(),
  /**
   * Writes of the head object take effect but get no answer; reads after such a write get none
   * either.
   */
  lose_head_answers: z.boolean().optional(),
  /** Watches report no changes and time out empty. */
  watches_stuck: z.boolean().optional(),
  /** Delay before a change of the VM list becomes visible, in milliseconds. */
  list_lag_ms: z.number().min(0).optional(),
});

type Faults = z.infer<typeof faultsSchema>;

/** Call counters of a running stand-in. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  watches: number;
  rateLimited: number;
}

/** In-memory implementation of the platform's HTTP API. */
export class PlatformStandin {
  readonly #http: FastifyInstance;
  readonly #objects = new PlatformObjects();
  readonly #readLimit = new TokenBucket(READS_PER_SECOND);
  readonly #writeLimit: TokenBucket;
  readonly #counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    rateLimited: 0,
  };
  #faults: Faults = {};
  /**
   * Whether the head was written since the faults were last set, while `lose_head_answers` was
   * on.
   */
  #headWritten = false;
  #vms: VmList = { vms: [] };
  #vmsVersion = 1;

  constructor({ writesPerSecond = WRITES_PER_SECOND } = {}) {
    this.#writeLimit = new TokenBucket(writesPerSecond);
    this.#http = fastify({
      bodyLimit: MAX_VALUE_BYTES,
      forceCloseConnections: true,
    });
    this.#http.addContentTypeParser(
      "text/plain",
      { parseAs: "string" },
      (_req, body, done) => done(null, body),
    );
    this.#http.get("/v1/objects/:key", (req, reply) => this.#read(req, reply));
    this.#http.put("/v1/objects/:key", (req, reply) => this.#write(req, reply));
    this.#http.get("/v1/objects", (req, reply) => this.#list(req, reply));
    this.#http.get("/v1/vms", (req, reply) => this.#listVms(req, reply));
    this.#http.put("/vms", (req) => this.#setVms(req.body));
    this.#http.put("/faults", (req) => this.#setFaults(req.body));
    this.#http.get("/counts", () => this.#counts);
  }

  /** Starts listening; returns the base URL. */
  async listen(address: string): Promise<string> {
    return `http://${await listenHttp(this.#http, address)}`;
  }

  /** Stops the server and closes all connections. */
  async close(): Promise<void> {
    await this.#http.close();
  }

  async #read(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { key } = req.params as { key: string };
    const query = req.query as { after_version?: string; wait_ms?: string };
    const watch = query.after_version !== undefined;
    if (watch) this.#counts.watches += 1;
    else this.#counts.reads += 1;
    const answered = await this.#answerWithFault(reply, this.#readLimit);
    if (answered) return reply;
    if (this.#losesHead(key) && this.#headWritten) return cutConnection(reply);
    if (watch) return this.#watch(key, { reply, query });
    const object = this.#objects.get(key);
    if (object === undefined) return reply.code(404).send({ missing: key });
    return reply.send(object);
  }

  #watch(
    key: string,
    { reply, query }: {
      reply: FastifyReply;
      query: { after_version?: string; wait_ms?: string };
    },
  ): FastifyReply {
    const afterVersion = Number(query.after_version);
    const object = this.#objects.get(key);
    if (
      this.#faults.watches_stuck !== true &&
      (object?.version ?? 0) > afterVersion
    ) {
      return reply.send(object);
    }
    const finish = (change?: PlatformObject) => {
      clearTimeout(timer);
      stopWatching();
      if (change === undefined) void reply.code(204).send();
      else void reply.send(change);
    };
    const timer = setTimeout(() => finish(), Number(query.wait_ms ?? 0));
    const stopWatching = this.#objects.watch(key, {
      afterVersion,
      onChange: (change) => {
        if (this.#faults.watches_stuck !== true) finish(change);
      },
    });
    reply.raw.once("close", () => {
      clearTimeout(timer);
      stopWatching();
    });
    return reply;
  }

  async #write(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { key } = req.params as { key: string };
    this.#counts.writes += 1;
    const answered = await this.#answerWithFault(reply, this.#writeLimit);
    if (answered) return reply;
    const expectedVersion = Number(req.headers["if-match"] ?? 0);
    const written = this.#objects.put(key, {
      value: String(req.body),
      expectedVersion,
    });
    if (!written.ok) {
      return reply.code(412).send({ current_version: written.error });
    }
    if (this.#losesHead(key)) {
      this.#headWritten = true;
      return cutConnection(reply);
    }
    const remaining = this.#faults.lose_write_answers ?? 0;
    if (remaining > 0) {
      this.#faults = { ...this.#faults, lose_write_answers: remaining - 1 };
      return cutConnection(reply);
    }
    return reply.send({ version: written.value });
  }

  async #list(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    this.#counts.reads += 1;
    if (await this.#answerWithFault(reply, this.#readLimit)) return reply;
    const { prefix } = req.query as { prefix?: string };
    return reply.send({ keys: this.#objects.list(prefix ?? "") });
  }

  async #listVms(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    this.#counts.reads += 1;
    if (await this.#answerWithFault(reply, this.#readLimit)) return reply;
    const etag = String(this.#vmsVersion);
    if (req.headers["if-none-match"] === etag) return reply.code(304).send();
    return reply.header("etag", etag).send(this.#vms);
  }

  /**
   * Applies the delay, outage and rate limit; returns whether the call was answered with an
   * error.
   */
  async #answerWithFault(
    reply: FastifyReply,
    limit: TokenBucket,
  ): Promise<boolean> {
    const delayMs = this.#faults.delay_ms ?? 0;
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    if (this.#faults.down === true) {
      void reply.code(503).send({ error: "down" });
      return true;
    }
    if (limit.tryTake()) return false;
    this.#counts.rateLimited += 1;
    void reply.code(429).header("retry-after-ms", RETRY_AFTER_MS).send({
      error: "rate",
    });
    return true;
  }

  #setVms(body: unknown): { ok: true } {
    const vms = vmListSchema.parse(body);
    const lagMs = this.#faults.list_lag_ms ?? DEFAULT_VM_LIST_LAG_MS;
    setTimeout(() => {
      this.#vms = vms;
      this.#vmsVersion += 1;
    }, lagMs).unref();
    return { ok: true };
  }

  /** Whether the answers to writes of this key are dropped. */
  #losesHead(key: string): boolean {
    return this.#faults.lose_head_answers === true && key === HEAD_KEY;
  }

  #setFaults(body: unknown): { ok: true } {
    this.#faults = faultsSchema.parse(body);
    this.#headWritten = false;
    return { ok: true };
  }
}

function cutConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
