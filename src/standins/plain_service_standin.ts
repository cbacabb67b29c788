/** Stand-in for a backend server of a plain HTTP service; counts the calls per request key. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import * as z from "zod";
import { listenHttp } from "../runtime/listen.ts";

const faultsSchema = z.strictObject({
  /** Calls are answered with this status. */
  status: z.int().optional(),
  /** Delay before every answer, in milliseconds. */
  delay_ms: z.number().min(0).optional(),
  /** Calls take effect, but their connections are closed without an answer. */
  cut_after_effect: z.boolean().optional(),
});

/**
 * HTTP server that accepts any request and counts executions by idempotency key, or else
 * request id.
 */
export class PlainServiceStandin {
  readonly #http: FastifyInstance;
  readonly #runsByKey = new Map<string, number>();
  #faults: z.infer<typeof faultsSchema> = {};

  constructor() {
    this.#http = fastify({ forceCloseConnections: true });
    this.#http.removeAllContentTypeParsers();
    this.#http.addContentTypeParser(
      "*",
      { parseAs: "string" },
      (_req, body, done) => done(null, body),
    );
    this.#http.get("/counts", () => Object.fromEntries(this.#runsByKey));
    this.#http.put("/faults", (req) => {
      this.#faults = faultsSchema.parse(JSON.parse(String(req.body)));
      return { ok: true };
    });
    this.#http.all("/*", (req, reply) => this.#handleCall(req, reply));
  }

  /** Starts listening; returns the base URL. */
  async listen(address: string): Promise<string> {
    return `http://${await listenHttp(this.#http, address)}`;
  }

  /** Stops the server and closes all connections. */
  async close(): Promise<void> {
    await this.#http.close();
  }

  async #handleCall(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { status, delay_ms = 0, cut_after_effect } = this.#faults;
    const key = String(
      req.headers["idempotency-key"] ?? req.headers["x-request-id"],
    );
    const runs = (this.#runsByKey.get(key) ?? 0) + 1;
    this.#runsByKey.set(key, runs);
    if (delay_ms > 0) {
      await new Promise((resolve) => setTimeout(resolve, delay_ms));
    }
    if (cut_after_effect === true) {
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    const { method, url } = req;
    return reply.code(status ?? 200).send({ method, path: url, runs });
  }
}
